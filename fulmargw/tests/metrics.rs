//! The metrics page against the metrics in the source.

mod fixture;

use fixture::root;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

/// Macros that make a metric, with the kind as the page names it.
const KINDS: [(&str, &str); 3] = [
    ("counter!(", "counter"),
    ("gauge!(", "gauge"),
    ("histogram!(", "histogram"),
];

/// Kind and labels of a metric.
type Shape = (String, BTreeSet<String>);

/// Texts of the source files of the shipped crates, without the laboratory.
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

/// Text between quotes at the start of `text`, and the text after it.
fn quoted(text: &str) -> Option<(&str, &str)> {
    text.trim_start().strip_prefix('"')?.split_once('"')
}

/// Length of the arguments of a call, up to its closing parenthesis.
fn arguments(text: &str) -> usize {
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

/// Metrics that a source text makes with the macro of a kind.
fn metrics(text: &str, call: &str, kind: &str, found: &mut BTreeMap<String, Shape>) {
    for part in text.split(call).skip(1) {
        let (name, rest) = quoted(part).expect("a metric is named by a literal");
        let arguments = &rest[..arguments(rest)];
        let labels = arguments
            .match_indices("=>")
            .filter_map(|(at, _)| {
                arguments[..at]
                    .trim_end()
                    .strip_suffix('"')?
                    .rsplit('"')
                    .next()
            })
            .map(str::to_owned);
        let shape = (kind.to_owned(), labels.collect());
        let known = found
            .entry(name.to_owned())
            .or_insert_with(|| shape.clone());
        assert_eq!(*known, shape, "{name} has two shapes");
    }
}

fn in_source() -> BTreeMap<String, Shape> {
    let mut found = BTreeMap::new();
    for text in sources() {
        for (call, kind) in KINDS {
            metrics(&text, call, kind, &mut found);
        }
    }
    found
}

/// Cells of the rows of the page: name, kind, unit, labels, meaning, source.
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

fn on_page() -> BTreeMap<String, Shape> {
    let shape = |row: &Vec<String>| {
        let labels = row[3].split(", ").filter(|label| *label != "none");
        (row[1].clone(), labels.map(str::to_owned).collect())
    };
    rows()
        .iter()
        .map(|row| (row[0].clone(), shape(row)))
        .collect()
}

/// Guards against a metric that operators cannot look up, and against an invented one.
#[test]
fn page_has_exactly_the_metrics_of_the_source() {
    assert_eq!(in_source(), on_page());
}

/// Guards against a row without unit, meaning or the right source file.
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
