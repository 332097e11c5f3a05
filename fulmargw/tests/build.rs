//! The script with which the deploy file builds the program, on a package of a few lines.

mod fixture;

use fixture::root;
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::Command,
    time::{Duration, SystemTime},
};

/// Age of a source that comes from an archive.
const ARCHIVE_AGE: Duration = Duration::from_hours(24);

/// Returns a folder with the script and a package that prints `one`, which has been built.
fn built_package(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    for part in ["scripts", "src"] {
        fs::create_dir_all(folder.join(part)).expect("make a folder");
    }
    let script = "scripts/build.sh";
    fs::copy(root().join(script), folder.join(script)).expect("copy the script");
    let package =
        "[package]\nname = \"fulmargw\"\nversion = \"0.1.0\"\nedition = \"2024\"\n\n[workspace]\n";
    fs::write(folder.join("Cargo.toml"), package).expect("write the package");
    let lock = "version = 4\n\n[[package]]\nname = \"fulmargw\"\nversion = \"0.1.0\"\n";
    fs::write(folder.join("Cargo.lock"), lock).expect("write the lock file");
    write_source(&folder, "fn main() { print!(\"one\") }");
    assert!(build(&folder), "the first build fails");
    folder
}

/// Replaces the source of the package by one that is older than the last build.
fn write_source(folder: &Path, text: &str) {
    let path = folder.join("src/main.rs");
    fs::write(&path, text).expect("write the source");
    let file = File::options().write(true).open(path);
    let file = file.expect("open the source");
    let written = SystemTime::now() - ARCHIVE_AGE;
    file.set_modified(written).expect("set the time");
}

/// Runs the script. Returns whether it succeeded.
fn build(folder: &Path) -> bool {
    let mut command = Command::new("bash");
    command.arg("scripts/build.sh").current_dir(folder);
    // The build of the tests must not decide where this one goes.
    command.env_remove("CARGO_TARGET_DIR");
    command.status().expect("run the script").success()
}

fn program(folder: &Path) -> PathBuf {
    folder.join("target/release/fulmargw")
}

/// Guards against a program of an earlier commit that is run because the build folder was carried over
/// and the sources have earlier times than its files.
#[test]
fn a_carried_build_folder_yields_the_program_of_the_sources() {
    let folder = built_package("build-carried");

    write_source(&folder, "fn main() { print!(\"two\") }");
    let is_built = build(&folder);

    assert!(is_built);
    let output = Command::new(program(&folder)).output();
    assert_eq!(output.expect("run the program").stdout, b"two");
}

/// Guards against a build that fails and leaves the program of an earlier commit in place.
#[test]
fn a_failed_build_leaves_no_program() {
    let folder = built_package("build-failed");

    write_source(&folder, "fn main() { missing() }");
    let is_built = build(&folder);

    assert!(!is_built);
    assert!(!program(&folder).exists());
}
