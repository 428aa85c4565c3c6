//! The settings template, filled in as the platform does.

use crate::platform;
use lentilspoke::settings::Settings;

/// The bench fetches metrics from the port in this file, so it must be the one in the template.
const DEPLOY: &str = include_str!("../../deploy/system.toml");

const TEMPLATE: &str = include_str!("../../deploy/settings.jsonc");

#[test]
fn the_template_gives_valid_settings() {
    assert_eq!(platform::SETTINGS_VARIABLE, "LENTILSPOKE_CONFIG");
    let filled = [
        ("{{node}}", "front-msa-hall-1"),
        ("{{zone}}", "msa-hall"),
        ("{{listen.front}}", "10.1.0.8:8784"),
        ("{{listen.control}}", "10.1.0.8:8782"),
        ("{{listen.ready}}", "10.1.0.8:8785"),
        ("{{ip}}", "10.1.0.8"),
        ("{{internal_port_range.1}}", "7455"),
        ("{{platform.address}}", "10.200.1.7:8783"),
        ("{{cloud.address}}", "10.200.0.160:8783"),
        (
            "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
            "\"10.1.0.8:8782\",\"10.2.0.6:8782\"",
        ),
        ("{{zones|json}}", "{\"msa-hall\":\"mombasa\"}"),
        ("{{bounds.grace_s}}", "6.5"),
        ("{{limits.max_fds}}", "4200"),
        ("{{limits.cpu_share}}", "0.12"),
    ];
    let mut text = TEMPLATE.to_owned();
    for (placeholder, value) in filled {
        assert!(text.contains(placeholder), "{placeholder}");
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "{text}");
    let settings: Settings = text.parse().unwrap();
    assert!(DEPLOY.contains(&format!("\"{}/metrics\"", settings.admin.port())));
    let direct = settings.direct.unwrap();
    assert_eq!(direct.grace.to_string(), "6s 500ms");
    assert_eq!(direct.cores.to_string(), "0.12");
    assert_eq!(direct.relay, Some("10.1.0.8:7455".parse().unwrap()));
}
