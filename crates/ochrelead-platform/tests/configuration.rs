//! Tests the parsing of a node's configuration file.

mod event;

use event::event;
use ochrelead_core::time::Span;
use ochrelead_platform::configuration;
use serde_json::json;
use test_case::test_case;

#[test]
fn configuration_and_settings_are_parsed() {
    let text = json!({"name": "n3", "listen": "127.0.0.4:5080", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 384}, "coordinator": "127.2.0.1:8500", "new": [],
        "known": {"index": 1, "updates": [event(1, "s-1", "up")]},
        "settings": {"requestClasses": [{"name": "voice", "deadlineMs": 9000, "targetMs": 1500, "worth": 2}],
            "orgs": [{"name": "acme"}], "limits": {"mostHeld": 20000, "connectTimeoutMs": 500}}});
    let configuration = configuration::parse(&text.to_string()).unwrap();
    assert_eq!(
        (configuration.controller_config.seed, configuration.limits.memory),
        (0x8c1f_30d2_7a5b_e964, 48 << 20)
    );
    assert_eq!(configuration.settings.services().collect::<Vec<_>>(), [("voice", Span::from_secs(9))]);
    assert_eq!(configuration.settings.tenants().collect::<Vec<_>>(), ["acme"]);
    assert_eq!(
        (configuration.settings.max_sessions(), configuration.initial_changes.len()),
        (Some(20_000), 1)
    );
}

#[test_case("{"; "truncated file")]
#[test_case("{}"; "listen address missing")]
#[test_case("{\"listen\":\"nowhere\"}"; "listen address invalid")]
fn invalid_configuration_is_rejected(text: &str) {
    assert!(configuration::parse(text).is_err());
}
