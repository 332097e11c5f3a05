//! Command line: exit codes and output that scripts rely on, help, manual and completions.

mod fixture;

use fixture::{CREDENTIAL, Fake, example, example_with, file, operator, run, stderr, stdout};
use fulmargw_model::client_account::Digest;
use std::process::Output;

const COMMANDS: [&str; 7] = [
    "serve", "check", "patch", "config", "state", "key", "version",
];

/// Runs the program in another thread, so that the runtime of the test can serve the operator
/// interface.
async fn run_blocking(arguments: Vec<String>) -> Output {
    tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run(&arguments)
    })
    .await
    .expect("program exits")
}

fn patch_arguments(url: &str, credential: &str, patch: &str) -> Vec<String> {
    [
        "patch",
        "--json",
        "--operator",
        url,
        "--credential-file",
        credential,
        patch,
    ]
    .map(str::to_owned)
    .to_vec()
}

/// Guards against usage errors with the exit code of other failures, which scripts could not
/// distinguish.
#[test]
fn usage_errors_exit_with_2() {
    for arguments in [&["serve"][..], &["unknown"], &[], &["check", "--settings"]] {
        let output = run(arguments);

        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}

/// Guards against a subcommand whose help has no example.
#[test]
fn every_help_has_an_example() {
    for command in [
        "serve", "check", "patch", "config", "state", "key", "version",
    ] {
        let output = run(&[command, "--help"]);

        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(stdout(&output).contains("Examples:"), "{command}");
    }
}

/// Guards against an example settings file that `check` rejects.
#[test]
fn check_accepts_the_example() {
    let settings = file("cli-example.toml", &example());

    let output = run(&["check", "--settings", &settings]);

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

/// Guards against a run of which nobody can tell which code it was, and against an option that people
/// expect and that is refused.
#[test]
fn the_version_names_the_commit() {
    let command = run(&["version"]);
    let option = run(&["--version"]);
    let json = run(&["version", "--json"]);

    assert_eq!(command.status.code(), Some(0), "{}", stderr(&command));
    assert_eq!(option, command);
    let build: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    let [version, commit] = ["version", "commit"].map(|key| build[key].as_str().expect("a text"));
    assert_eq!(stdout(&command), format!("fulmargw {version} ({commit})\n"));
    assert!(
        commit == "unknown" || commit.len() >= 12,
        "{commit} is not a commit"
    );
}

/// Guards against reported problems without file, line and key.
#[test]
fn check_reports_file_line_and_key() {
    let text = example_with("zone = ", "zones = ");
    let settings = file("cli-unknown-key.toml", &text);

    let plain = run(&["check", "--settings", &settings]);
    let json = run(&["check", "--json", "--settings", &settings]);

    assert_eq!(plain.status.code(), Some(4));
    let line = text
        .lines()
        .position(|line| line.starts_with("zones"))
        .expect("line")
        + 1;
    let start = format!("{settings}:{line}: host.zones: ");
    assert!(stderr(&plain).starts_with(&start), "{}", stderr(&plain));
    assert_eq!(json.status.code(), Some(4));
    assert!(stdout(&json).contains("\"key\":\"host.zones\""));
}

/// Guards against a host that starts with invalid settings.
#[test]
fn serve_refuses_invalid_settings() {
    let settings = file("cli-serve.toml", &example_with("zone = ", "zones = "));

    let output = run(&["serve", "--settings", &settings]);

    assert_eq!(output.status.code(), Some(4));
}

/// Guards against a printed digest that is not that of the printed key.
#[test]
fn printed_digest_is_of_printed_key() {
    let output = run(&["key", "--json"]);

    let pair: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let key = pair["key"].as_str().expect("key");
    let digest = Digest::of(key.as_bytes()).to_string();
    assert_eq!(pair["digest"].as_str(), Some(digest.as_str()));
    assert_eq!(key.len(), 64);
}

/// Guards against exit codes with which a script takes a rejected patch for an accepted one.
#[tokio::test(flavor = "multi_thread")]
async fn patch_exit_codes_distinguish_accepted_stale_invalid_and_unreachable() {
    let url = operator(Fake::default()).await;
    let credential = file("cli-credential", &format!("{CREDENTIAL}\n"));
    let current = file(
        "cli-current.toml",
        "base = 7\nchanges = [{remove_route = \"r\"}]\n",
    );
    let stale = file("cli-stale.json", "{\"base\":6,\"changes\":[]}");
    let invalid = file(
        "cli-invalid.toml",
        "base = 7\nchanges = [{remove_road = \"r\"}]\n",
    );
    let cases = [
        (url.as_str(), &current, 0, "\"version\":8"),
        (url.as_str(), &stale, 3, "\"current\":7"),
        (url.as_str(), &invalid, 4, "\"change\":1"),
        ("http://127.0.0.1:1", &current, 5, ""),
    ];
    for (url, patch, code, text) in cases {
        let output = run_blocking(patch_arguments(url, &credential, patch)).await;

        assert_eq!(
            output.status.code(),
            Some(code),
            "{patch}: {}",
            stderr(&output)
        );
        assert!(
            stdout(&output).contains(text),
            "{patch}: {}",
            stdout(&output)
        );
    }
}

/// Guards against exit code 0 with a wrong credential, and against an error that prints it.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_credential_fails() {
    let url = operator(Fake::default()).await;
    let credential = file("cli-wrong-credential", "guess");
    let arguments = [
        "state",
        "--operator",
        &url,
        "--credential-file",
        &credential,
    ];

    let output = run_blocking(arguments.map(str::to_owned).to_vec()).await;

    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    assert!(!stderr(&output).contains("guess"));
}

/// Runs `fulmargw state --json` with more options against a fake handler. `name` must be unique,
/// because it names the credential file.
async fn state(name: &str, options: &[&str]) -> Output {
    let url = operator(Fake::default()).await;
    let credential = file(&format!("cli-state-{name}"), CREDENTIAL);
    let common = ["state", "--json", "--operator", &url, "--credential-file"];
    let arguments = [&common[..], &[credential.as_str()], options].concat();
    run_blocking(arguments.into_iter().map(str::to_owned).collect()).await
}

/// Guards against `--request` printing the decisions on other requests.
#[tokio::test(flavor = "multi_thread")]
async fn state_of_a_request_has_only_its_decisions() {
    let first = state("first", &["--request", "first"]).await;
    let open = state("open", &["--request", "open"]).await;

    let entry = serde_json::json!([{"request": "first", "service": "notes"}]);
    let shown: serde_json::Value = serde_json::from_slice(&first.stdout).expect("JSON");
    assert_eq!(
        shown,
        serde_json::json!({"journal": entry, "transactions": []})
    );
    let shown: serde_json::Value = serde_json::from_slice(&open.stdout).expect("JSON");
    assert_eq!(shown["transactions"][0]["request"], "open");
}

/// Guards against `--service` printing the decisions of other services.
#[tokio::test(flavor = "multi_thread")]
async fn state_of_a_service_has_only_its_decisions() {
    let output = state("ledger", &["--service", "ledger"]).await;

    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let expected = serde_json::json!({
        "services": [{"name": "ledger"}],
        "lanes": [{"service": "ledger"}],
        "transactions": [],
        "journal": [{"request": "second", "service": "ledger"}],
        "promotions": [{"service": "ledger"}],
    });
    assert_eq!(shown, expected);
}

/// Guards against an empty state dump with exit code 0, which looks as if the host had no record of
/// a failure.
#[tokio::test(flavor = "multi_thread")]
async fn state_without_a_match_fails_and_names_the_condition() {
    for (option, value, text) in [
        (
            "--request",
            "third",
            "no recent decision on request \"third\"",
        ),
        ("--service", "archive", "no service \"archive\""),
    ] {
        let output = state(value, &[option, value]).await;

        assert_eq!(output.status.code(), Some(1), "{option}");
        assert!(output.stdout.is_empty(), "{option}");
        assert!(stderr(&output).contains(text), "{}", stderr(&output));
    }
}

/// Guards against the misleading error that an address without scheme is a relative URL.
#[test]
fn operator_url_without_scheme_is_a_usage_error() {
    let credential = file("cli-scheme", CREDENTIAL);
    let operator = "10.0.0.1:9100";

    let output = run(&[
        "state",
        "--operator",
        operator,
        "--credential-file",
        &credential,
    ]);

    assert_eq!(output.status.code(), Some(2));
    let expected = "\"10.0.0.1:9100\" does not begin with http://";
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

/// Returns the options in the help of a subcommand.
fn options(command: &str) -> Vec<String> {
    stdout(&run(&[command, "--help"]))
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.len() > 2)
        .map(|word| word.trim_end_matches([',', ']']).to_owned())
        .collect()
}

/// Guards against a manual or completions without one of the subcommands or options.
#[test]
fn manual_and_completions_have_every_command_and_option() {
    let files = ["fulmargw.1", "fulmargw.bash", "_fulmargw", "fulmargw.fish"];
    for name in files {
        let path = fixture::root().join("extra").join(name);
        let text = std::fs::read_to_string(path).expect("read the file");
        let text = text.replace("\\-", "-");
        for command in COMMANDS {
            assert!(text.contains(command), "{name} has no {command}");
            for option in options(command) {
                let fish_option = format!("-l {}", option.trim_start_matches('-'));
                assert!(
                    text.contains(&option) || text.contains(&fish_option),
                    "{name} has no {option}"
                );
            }
        }
    }
}
