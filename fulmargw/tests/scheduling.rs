//! Checks of the section `[scheduling]` of the settings of `fulmargw pool`.

mod fixture;

use fixture::root;
use fulmargw::{pool::settings, settings::problem::Error};
use std::{fs, path::Path};

/// Returns the template of the settings with the addresses of one host and further text.
fn text(scheduling: &str) -> String {
    let path = root().join("deploy/settings.toml");
    let template = fs::read_to_string(path).expect("read the template");
    let lines = template.lines();
    let lines = lines.map(|line| match line.split_once(" = ") {
        Some(("seeds", _)) => "seeds = []".to_owned(),
        Some((key, _)) if key.ends_with("address") => format!("{key} = \"10.1.0.26:8465\""),
        Some((key @ ("name" | "zone"), _)) => format!("{key} = \"a\""),
        Some((key @ "file_descriptors", _)) => format!("{key} = 4300"),
        Some((key @ "memory_mb", _)) => format!("{key} = 260"),
        Some((key, value)) if value.starts_with("{{") => format!("{key} = 1"),
        _ => line.to_owned(),
    });
    let lines: Vec<String> = lines.collect();
    format!("{}\n{scheduling}\n", lines.join("\n"))
}

fn problems(scheduling: &str) -> usize {
    match settings::parse(Path::new("pool.toml"), &text(scheduling)) {
        Ok(_) => 0,
        Err(Error::Invalid(problems)) => problems.len(),
        Err(error) => panic!("{error}"),
    }
}

/// Guards against a section that is required, and against values that `fulmargw check --pool` does
/// not refuse.
#[test]
fn the_section_is_optional_and_checked() {
    assert_eq!(problems(""), 0);
    assert_eq!(
        problems("[scheduling]\nearly_refusal = true\naccount_connections = 0.5"),
        0
    );
    assert_eq!(problems("[scheduling]\naccount_connections = 0.0"), 1);
    assert_eq!(problems("[scheduling]\nreserved = true"), 1);
}
