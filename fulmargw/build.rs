//! Records the commit from which the program is built.

use std::{env, fs, path::Path, process::Command};

/// Variable with the commit, which whoever builds without git may set.
const VARIABLE: &str = "FULMARGW_COMMIT";
/// Length of the abbreviated commit identifier.
const LENGTH: usize = 12;
/// Root of the repository, seen from this package.
const ROOT: &str = "..";

fn main() {
    println!("cargo::rerun-if-env-changed={VARIABLE}");
    let given = env::var(VARIABLE).ok().filter(|commit| !commit.is_empty());
    let commit = given.or_else(commit);
    let commit = commit.unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env={VARIABLE}={commit}");
}

/// Returns the commit of the repository, marked if the sources differ from it; `None` without git.
fn commit() -> Option<String> {
    for file in ["HEAD", "logs/HEAD"] {
        rerun_if_changed(Path::new(&git(&["rev-parse", "--git-path", file])?));
    }
    let sources = sources();
    for source in &sources {
        rerun_if_changed(Path::new(source));
    }
    let commit = git(&["rev-parse", &format!("--short={LENGTH}"), "HEAD"])?;
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(sources.iter().map(String::as_str));
    let is_modified = !git(&status)?.is_empty();
    Some(if is_modified {
        format!("{commit}-modified")
    } else {
        commit
    })
}

/// Returns the paths of everything from which the packages of the workspace are built.
fn sources() -> Vec<String> {
    let entries = fs::read_dir(ROOT).into_iter().flatten().flatten();
    let packages = entries.map(|entry| entry.path());
    let packages = packages.filter(|path| path.join("Cargo.toml").is_file());
    let mut sources: Vec<String> = packages
        .flat_map(|package| ["Cargo.toml", "src"].map(|part| package.join(part)))
        .map(|path| path.display().to_string())
        .collect();
    sources.push(format!("{ROOT}/Cargo.lock"));
    sources
}

/// Runs the build script again when a file changes. Cargo would run it each time for a missing one.
fn rerun_if_changed(path: &Path) {
    if path.exists() {
        println!("cargo::rerun-if-changed={}", path.display());
    }
}

/// Returns what git prints; `None` if it is missing or fails, as outside of a repository.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
