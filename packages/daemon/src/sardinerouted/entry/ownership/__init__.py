"""Which entry is home to a job: leases on partitions."""
