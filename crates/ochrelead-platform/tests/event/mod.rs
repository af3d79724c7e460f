//! Builds events of the coordinator for several tests.

use serde_json::{Value, json};

/// Returns an event with one server in the given lifecycle state. The event with index 1 holds the full list.
pub(crate) fn event(index: u64, id: &str, lifecycle: &str) -> Value {
    json!({"index": index, "endpoints": {"generation": index, "reset": index == 1, "instances": [
        {"instanceId": id, "hostPort": "127.0.0.1:5080", "zone": "east", "machineType": "std", "cell": 2,
            "lifecycle": lifecycle, "weight": 4, "startedAtMs": 1500}]}})
}
