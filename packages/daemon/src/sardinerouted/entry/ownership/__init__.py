"""Leases on partitions, which decide the home entry of each job."""
