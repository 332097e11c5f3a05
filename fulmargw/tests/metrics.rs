//! The metrics page against the metric names in the source.

mod fixture;

use {
    fixture::root,
    std::{collections::BTreeSet, fs, path::Path},
};

/// Macros that name a metric in the source.
const MACROS: [&str; 3] = ["counter!(", "gauge!(", "histogram!("];

/// Rust files of the shipped crates, without tests and without the laboratory.
fn sources() -> Vec<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root()).expect("read the repository") {
        let path = entry.expect("read an entry").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if name.starts_with("fulmargw") && name != "fulmargw_lab" {
            collect(&path.join("src"), &mut files);
        }
    }
    files
}

fn collect(folder: &Path, files: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("read a folder") {
        let path = entry.expect("read an entry").path();
        if path.is_dir() {
            collect(&path, files);
        } else {
            files.push(fs::read_to_string(&path).expect("read a source file"));
        }
    }
}

/// Names in quotes that start with `prefix` and are made of lower-case letters and `_`.
fn quoted<'a>(text: &'a str, quote: char, prefix: &str) -> BTreeSet<&'a str> {
    text.split(quote)
        .filter(|part| part.starts_with(prefix))
        .filter(|part| {
            part.bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
        })
        .collect()
}

/// Guards against a metric that operators cannot look up, and against an invented one.
#[test]
fn page_has_exactly_the_metrics_of_the_source() {
    let sources = sources();
    let with_metrics = sources
        .iter()
        .filter(|text| MACROS.iter().any(|name| text.contains(name)));
    let in_source: BTreeSet<&str> = with_metrics
        .flat_map(|text| quoted(text, '"', "fulmargw_"))
        .collect();

    let page = fs::read_to_string(root().join("docs/metrics.md")).expect("read the page");
    let on_page: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .collect();

    assert_eq!(in_source, on_page);
}

/// Guards against a row without unit, labels or source file.
#[test]
fn rows_are_complete() {
    let page = fs::read_to_string(root().join("docs/metrics.md")).expect("read the page");
    for row in page.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();

        assert_eq!(cells.len(), 6, "{row}");
        assert!(cells.iter().all(|cell| !cell.is_empty()), "{row}");
        let source = root().join(cells[5].trim_matches('`'));
        assert!(source.is_file(), "{row}");
        let text = fs::read_to_string(source).expect("read the source file");
        assert!(text.contains(cells[0].trim_matches('`')), "{row}");
    }
}
