//! Settings files: the example, the reference page and reported problems.

mod fixture;

use fixture::{example, example_with, problems, root};
use fulmargw::settings::Settings;
use std::{collections::BTreeMap, path::Path};

fn parse(text: &str) -> Settings {
    Settings::parse(Path::new("test.toml"), text).expect("valid settings")
}

/// Returns settings with the required keys only, so that all others have their defaults.
fn minimal() -> String {
    "[host]\nname = \"host-a\"\nzone = \"zone-1\"\n\
     peer_address = \"10.0.0.1:9000\"\ndocument_address = \"10.0.0.1:9001\"\n\
     [frontend]\naddress = \"10.0.0.1:5432\"\n\
     [operator]\naddress = \"10.0.0.1:9100\"\n\
     credential_digest = \"0000000000000000000000000000000000000000000000000000000000000000\"\n\
     [platform]\naddresses = [\"10.0.0.200:8080\"]\n"
        .to_owned()
}

/// Adds the keys of a TOML table, joined by dots, with their values.
fn flatten(prefix: &str, table: &toml::Table, flat: &mut BTreeMap<String, String>) {
    for (key, value) in table {
        let key = format!("{prefix}{key}");
        match value {
            toml::Value::Table(inner) => flatten(&format!("{key}."), inner, flat),
            value => {
                flat.insert(key, value.to_string());
            }
        }
    }
}

/// Returns all keys that the code knows, with their defaults.
fn keys_in_code() -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    let table = toml::Table::try_from(parse(&minimal())).expect("settings as a table");
    flatten("", &table, &mut flat);
    flat
}

/// Returns the keys and defaults from the rows `| key | default | unit | effect |` of the reference
/// page.
fn keys_on_page() -> BTreeMap<String, String> {
    let page = std::fs::read_to_string(root().join("docs/settings.md")).expect("read the page");
    page.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .map(|row| {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 5, "row {row:?} does not have four cells");
            assert!(!cells[3].is_empty(), "row {row:?} names no effect");
            let key = cells[0].trim_end_matches('`');
            (key.to_owned(), cells[1].trim_matches('`').to_owned())
        })
        .collect()
}

/// Guards against an example that new users cannot use.
#[test]
fn example_is_valid() {
    parse(&example());
}

/// Guards against a reference page with missing keys, unknown keys or wrong defaults.
#[test]
fn reference_page_matches_code() {
    let (code, mut page) = (keys_in_code(), keys_on_page());

    let optional = page.remove("host.source_ip");
    let by_build = page.insert(
        "engine.strict".to_owned(),
        cfg!(debug_assertions).to_string(),
    );

    assert_eq!(optional.as_deref(), Some("none"));
    assert_eq!(by_build.as_deref(), Some("debug builds"));
    assert_eq!(
        page.keys().collect::<Vec<_>>(),
        code.keys().collect::<Vec<_>>()
    );
    for (key, default) in page {
        if default != "required" {
            assert_eq!(default, code[&key], "default of {key}");
        }
    }
}

/// Guards against a misspelled key that is silently ignored.
#[test]
fn unknown_key_is_reported_with_its_line() {
    let text = example_with("zone = ", "zones = ");

    let problems = problems(&text);

    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].key, "host.zones");
    let line = text.lines().nth(problems[0].line - 1).unwrap_or_default();
    assert!(line.starts_with("zones = "), "line {line:?}");
}

/// Guards against a start that depends on name resolution, because the resolver may be down.
#[test]
fn host_name_in_an_address_is_rejected() {
    let text = example_with("peer_address = \"10.0.0.1:", "peer_address = \"localhost:");

    let problems = problems(&text);

    assert_eq!(problems[0].key, "host.peer_address");
    let line = text.lines().nth(problems[0].line - 1).unwrap_or_default();
    assert!(line.contains("localhost"), "line {line:?}");
}

/// Guards against an operator interface on the address for callers.
#[test]
fn operator_address_must_differ_from_caller_address() {
    for address in ["10.0.0.1:5432", "0.0.0.0:5432"] {
        let text = minimal().replace("10.0.0.1:9100", address);

        let problems = problems(&text);

        assert_eq!(problems[0].key, "operator.address", "{address}");
        assert!(problems[0].cause.contains("frontend.address"), "{address}");
    }
}

/// Guards against a check that reports only the first problem.
#[test]
fn every_value_out_of_range_is_reported() {
    let text = minimal()
        .replace("zone-1", "zone 1")
        .replace("[platform]", "[platform]\ntimeout_ms = 1")
        .replace(
            "[operator]",
            "[frontend.limits]\ndeadline_ms = 0\n[operator]",
        );

    let keys: Vec<String> = problems(&text)
        .into_iter()
        .map(|problem| problem.key)
        .collect();

    assert_eq!(
        keys,
        [
            "host.zone",
            "frontend.limits.deadline_ms",
            "platform.timeout_ms"
        ]
    );
}

/// Guards against a reported syntax error without its line.
#[test]
fn syntax_error_is_reported_with_its_line() {
    let problems = problems("[host]\nname = host-a\n");

    assert_eq!(problems[0].line, 2);
}
