//! Settings of `fulmargw pool`.

mod fixture;

use fixture::root;
use fulmargw::{
    pool::{environment, settings},
    settings::problem::Error,
};
use fulmargw_pool::settings::Settings;
use std::{fs, path::Path, time::Duration};

/// Settings without the optional sections.
const SETTINGS: &str = r#"
[host]
name = "host-a"
zone = "a"
front_address = "10.1.0.26:8465"
ready_address = "10.1.0.26:8460"
peer_address = "10.1.0.26:8462"
statement_address = "10.1.0.26:7560"
metrics_address = "10.1.0.26:9464"

[platform]
store_address = "10.200.1.7:8466"
order_address = "10.200.0.2:8466"

[limits]
memory_mb = 260
file_descriptors = 4300
cores = 1
grace_s = 6
drain_timeout_ms = 7000
quota_overage = 0.1
quota_slack = 20
"#;

/// Guards against bounds of evacuations that are accepted although they cannot be meant, and a section
/// that is accepted in part.
#[test]
fn the_bounds_of_evacuations_are_checked() {
    let parse = |section: &str| {
        let text = format!("{SETTINGS}\n[evacuation]\n{section}\n");
        settings::parse(Path::new("pool.toml"), &text)
    };

    assert!(settings::parse(Path::new("pool.toml"), SETTINGS).is_ok());
    assert!(parse("apply_ms = 5000\ncold_overage = 1.5\ncold_slack = 5").is_ok());
    for (section, key) in [
        (
            "apply_ms = 5\ncold_overage = 1.5\ncold_slack = 5",
            "apply_ms",
        ),
        (
            "apply_ms = 5000\ncold_overage = -1\ncold_slack = 5",
            "cold_overage",
        ),
        (
            "apply_ms = 5000\ncold_overage = 1.5\ncold_slack = -5",
            "cold_slack",
        ),
        ("apply_ms = 5000\ncold_overage = 1.5", "cold_slack"),
    ] {
        let error = parse(section).expect_err("invalid settings");
        assert!(error.to_string().contains(key), "{error}");
    }
}

/// Parses the settings with variables of the environment.
fn parse_with(variables: &[(&str, &str)]) -> Result<Settings, Error> {
    let read = |name: &str| {
        let variable = variables.iter().find(|(known, _)| *known == name);
        variable.map(|(_, value)| (*value).to_owned())
    };
    settings::parse_with(Path::new("pool.toml"), SETTINGS, |settings| {
        environment::apply_from(read, settings)
    })
}

/// Guards against bounds, zones or a processor share of a deployment that do not arrive, because the
/// template cannot hold what only some deployments have.
#[test]
fn the_environment_completes_the_settings() {
    let settings = parse_with(&[
        (environment::CPU_SHARE, "0.12"),
        (environment::ZONES, r#"{"a": "north", "b": "south"}"#),
        (environment::CONFIGURATION_APPLY_MS, "3000"),
        (environment::HEARTBEAT_INTERVAL_MS, "800"),
        (environment::EVACUATION_APPLY_MS, "5000"),
        (environment::COLD_OVERAGE, "1.5"),
        (environment::COLD_SLACK, "5"),
    ])
    .expect("valid settings");

    let bounds = settings.evacuation.expect("bounds of evacuations");
    assert_eq!(settings.limits.millicores(), 120);
    assert_eq!(settings.limits.configuration_apply_ms, Some(3_000));
    assert_eq!(settings.limits.heartbeat_interval_ms, Some(800));
    assert_eq!(settings.zones["b"].as_str(), "south");
    assert_eq!(bounds.apply_ms, 5_000);
    assert_eq!(bounds.cold_slack.to_bits(), 5.0_f64.to_bits());
}

/// Guards against a server that is taken for removed from the registry while its entry may still be
/// there, or long after it must be gone.
#[test]
fn the_lifetime_of_registrations_follows_the_heartbeat_interval() {
    let lifetime = |variables: &[(&str, &str)]| {
        let settings = parse_with(variables).expect("valid settings");
        settings.limits.registration_lifetime()
    };

    let by_default = lifetime(&[]);
    let shortest = lifetime(&[(environment::HEARTBEAT_INTERVAL_MS, "100")]);
    let longest = lifetime(&[(environment::HEARTBEAT_INTERVAL_MS, "60000")]);

    assert_eq!(by_default, Duration::from_secs(4));
    assert_eq!(shortest, Duration::from_millis(700));
    assert_eq!(longest, Duration::from_millis(180_400));
}

/// Guards against a deployment without evacuations that gets their bounds, and against a host that does
/// not start because a value is empty there.
#[test]
fn empty_variables_have_no_effect() {
    let plain = settings::parse(Path::new("pool.toml"), SETTINGS).expect("valid settings");
    for value in ["", " ", "null"] {
        let variables = environment::VARIABLES.map(|name| (name, value));
        let settings = parse_with(&variables).expect("valid settings");

        assert_eq!(settings, plain, "{value:?}");
    }
}

/// Guards against a value that cannot be meant and is ignored without a word.
#[test]
fn unusable_variables_are_reported() {
    for (variables, name) in [
        (
            &[(environment::CPU_SHARE, "much")][..],
            environment::CPU_SHARE,
        ),
        (&[(environment::CPU_SHARE, "-1")], "limits.cpu_share"),
        (&[(environment::ZONES, "a,b")], environment::ZONES),
        (
            &[(environment::CONFIGURATION_APPLY_MS, "5")],
            "limits.configuration_apply_ms",
        ),
        (
            &[(environment::HEARTBEAT_INTERVAL_MS, "99")],
            "limits.heartbeat_interval_ms",
        ),
        (
            &[(environment::HEARTBEAT_INTERVAL_MS, "60001")],
            "limits.heartbeat_interval_ms",
        ),
        (
            &[(environment::EVACUATION_APPLY_MS, "5000")],
            environment::COLD_SLACK,
        ),
    ] {
        let error = parse_with(variables).expect_err("invalid settings");

        assert!(error.to_string().contains(name), "{error}");
    }
}

/// Guards against a bound of evacuations that has no effect without a word, because a value that it
/// needs is there but empty.
#[test]
fn the_limits_of_cold_servers_are_required_beside_the_bound_of_evacuations() {
    for (absent, present) in [
        (environment::COLD_OVERAGE, environment::COLD_SLACK),
        (environment::COLD_SLACK, environment::COLD_OVERAGE),
    ] {
        for value in ["", " ", "null", " null "] {
            let error = parse_with(&[
                (environment::EVACUATION_APPLY_MS, "5000"),
                (absent, value),
                (present, "1.5"),
            ])
            .expect_err("invalid settings")
            .to_string();

            assert!(error.contains(absent), "{value:?}: {error}");
            assert!(error.contains("is required"), "{value:?}: {error}");
            assert!(!error.contains(present), "{value:?}: {error}");
        }
    }
}

/// Guards against a deploy file that sets a variable which the program does not read.
#[test]
fn the_deploy_file_sets_known_variables() {
    let text = fs::read_to_string(root().join("deploy/system.toml")).expect("read the deploy file");
    let deploy: toml::Table = toml::from_str(&text).expect("valid TOML");
    let variables = deploy["roles"]["gateway"]["env"].as_table();

    let mut set: Vec<&String> = variables.expect("a table").keys().collect();
    let mut known = environment::VARIABLES;
    set.sort();
    known.sort_unstable();
    assert_eq!(set, known);
}
