"""Decides which jobs are refused for lack of room, by their urgency.

Load pattern: callers of queues of different urgency compete for too little
room. What an entry knows of the workers is up to 160 ms old, so that a job that
is expected to be a little late is often on time, and what it waits for is often
free. Refused all the same, the most urgent callers lose most: their jobs are
short, so that the error is large in comparison.

A job of the most urgent queue of a service is therefore refused only if it
would clearly be late, and one of the least urgent if it might be.
"""

from sardineroute_core import routing

# Slack ratio (see `placement.Choice`) below which a job of the least urgent
# queue is refused: the typical error of the measured speed of workers.
_LEAST_URGENT_SLACK = 0.08
# The same for the most urgent queue: an answer that is late by a tenth of the
# time that the job takes is still of use to its caller.
_MOST_URGENT_SLACK = -0.1


def min_slack(queue: routing.Queue, table: routing.Table | None) -> float:
    """Returns the slack ratio below which a job of a queue is refused.

    Args:
        queue: The queue of the job.
        table: The active configuration.
    """
    priorities = table.priorities(queue.service) if table else ()
    if queue.priority not in priorities or len(priorities) < 2:
        return _LEAST_URGENT_SLACK
    rank = priorities.index(queue.priority) / (len(priorities) - 1)
    return (1 - rank) * _MOST_URGENT_SLACK + rank * _LEAST_URGENT_SLACK
