"""The former names of the protocol's functions, for callers that are not changed yet.

To be removed with the last of them: new code imports from the modules that this one reads.
"""

from sandladder.protocol import (
    agent_messages,
    cloud_messages,
    codec,
    job_messages,
    store_messages,
)

BODY_LIMIT = codec.BODY_LIMIT
MalformedMessageError = codec.MalformedMessageError
dumps = codec.dumps
loads = codec.loads
loads_map = codec.loads_map

JOBS = job_messages.JOBS_PATH
HEALTH = job_messages.HEALTH_PATH
Submission = job_messages.Submission
error_body = job_messages.error_body
id_of = job_messages.job_id_of
is_job_id = job_messages.is_job_id
job_status = job_messages.job_state_body
names_others = job_messages.has_dependencies
parse_job = job_messages.parse_submission

REPORT = agent_messages.HEARTBEAT_PATH
COMMANDS = agent_messages.COMMANDS_PATH
STATUS = agent_messages.STATUS_PATH
commands_value = agent_messages.commands_value
entry_name = agent_messages.task_name
parse_report = agent_messages.parse_heartbeat
redirect_body = agent_messages.redirect_body

CATALOG = cloud_messages.CATALOG_PATH
MACHINES = cloud_messages.MACHINES_PATH
RETURN = cloud_messages.RETURN_PATH
hire_body = cloud_messages.rental_body
parse_catalog = cloud_messages.parse_catalog
parse_hired = cloud_messages.parse_rented
parse_machines = cloud_messages.parse_machines
return_body = cloud_messages.return_body

STORE = store_messages.KEYS_PATH
COMMIT = store_messages.COMMIT_PATH
HOLDS = store_messages.LEASES_PATH
FOLLOW = store_messages.WATCH_PATH
commit_body = store_messages.commit_body
follow_target = store_messages.watch_target
lease_body = store_messages.lease_body
list_target = store_messages.list_target
parse_events = store_messages.parse_events
parse_failed = store_messages.parse_failed_keys
parse_items = store_messages.parse_items
parse_lease = store_messages.parse_lease
parse_revision = store_messages.parse_revision
parse_value = store_messages.parse_value
