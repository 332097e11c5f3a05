//! Compares the documentation of the metrics with those in the source.

mod fixture;

use fixture::root;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

/// Macros that register a metric, and the kind of metric on the page.
const KINDS: [(&str, &str); 3] = [
    ("counter!(", "counter"),
    ("gauge!(", "gauge"),
    ("histogram!(", "histogram"),
];

/// Kind and labels of a metric.
type Signature = (String, BTreeSet<String>);

/// Returns the contents of all source files of the program; `fulmargw_lab` is a test tool.
fn source_texts() -> Vec<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(root()).expect("read the repository") {
        let path = entry.expect("read an entry").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if name.starts_with("fulmargw") && name != "fulmargw_lab" {
            read_files(&path.join("src"), &mut files);
        }
    }
    files
}

/// Reads all files of a directory and its subdirectories.
fn read_files(directory: &Path, files: &mut Vec<String>) {
    for entry in fs::read_dir(directory).expect("read a directory") {
        let path = entry.expect("read an entry").path();
        if path.is_dir() {
            read_files(&path, files);
        } else {
            files.push(fs::read_to_string(&path).expect("read a source file"));
        }
    }
}

/// Returns the quoted text at the start of `text`, and the text after it.
fn quoted(text: &str) -> Option<(&str, &str)> {
    text.trim_start().strip_prefix('"')?.split_once('"')
}

/// Returns the length of the arguments of a call, up to its closing parenthesis.
fn arguments_length(text: &str) -> usize {
    let mut depth = 0;
    let end = text.find(|character| {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        depth < 0
    });
    end.expect("a closing parenthesis")
}

/// Adds the metrics that a source text registers with one macro.
fn find_metrics(text: &str, call: &str, kind: &str, found: &mut BTreeMap<String, Signature>) {
    for part in text.split(call).skip(1) {
        let (name, rest) = quoted(part).expect("a metric is named by a literal");
        let arguments = &rest[..arguments_length(rest)];
        let labels = arguments
            .match_indices("=>")
            .filter_map(|(index, _)| {
                arguments[..index]
                    .trim_end()
                    .strip_suffix('"')?
                    .rsplit('"')
                    .next()
            })
            .map(str::to_owned);
        let signature = (kind.to_owned(), labels.collect());
        let known = found
            .entry(name.to_owned())
            .or_insert_with(|| signature.clone());
        assert_eq!(*known, signature, "{name} has two signatures");
    }
}

/// Returns the metrics in the source by name.
fn metrics_in_source() -> BTreeMap<String, Signature> {
    let mut found = BTreeMap::new();
    for text in source_texts() {
        for (call, kind) in KINDS {
            find_metrics(&text, call, kind, &mut found);
        }
    }
    found
}

/// Returns the cells of each row on the page: name, kind, unit, labels, meaning, source file.
fn rows() -> Vec<Vec<String>> {
    let page = fs::read_to_string(root().join("docs/metrics.md")).expect("read the page");
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .map(|row| {
            let cells = row.trim_matches('|').split('|');
            cells
                .map(|cell| cell.trim().trim_matches('`').to_owned())
                .collect()
        })
        .collect()
}

/// Returns the metrics on the page by name.
fn metrics_on_page() -> BTreeMap<String, Signature> {
    let signature = |row: &Vec<String>| {
        let labels = row[3].split(", ").filter(|label| *label != "none");
        (row[1].clone(), labels.map(str::to_owned).collect())
    };
    rows()
        .iter()
        .map(|row| (row[0].clone(), signature(row)))
        .collect()
}

/// Guards against a metric without documentation and against documentation of a missing metric.
#[test]
fn page_has_exactly_the_metrics_of_the_source() {
    assert_eq!(metrics_in_source(), metrics_on_page());
}

/// Guards against a row without unit or meaning, or with the wrong source file.
#[test]
fn rows_are_complete() {
    for row in rows() {
        assert_eq!(row.len(), 6, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
        let source = fs::read_to_string(root().join(&row[5])).expect("read the source file");
        let literal = format!("\"{}\"", row[0]);
        assert!(source.contains(&literal), "{row:?}");
    }
}
