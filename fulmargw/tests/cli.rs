//! Command line: exit codes and output that scripts rely on.

mod fixture;

use fixture::{CREDENTIAL, Fake, example, example_with, file, operator, run, stderr, stdout};
use fulmargw_model::client_account::Digest;
use std::process::Output;

const COMMANDS: [&str; 7] = [
    "serve", "check", "patch", "config", "state", "key", "version",
];

/// Runs the program while the test's runtime serves the operator interface.
async fn run_beside(arguments: Vec<String>) -> Output {
    tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run(&arguments)
    })
    .await
    .expect("program ends")
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

/// Guards against scripts that cannot tell a usage error from a failure.
#[test]
fn usage_errors_exit_with_2() {
    for arguments in [&["serve"][..], &["unknown"], &[], &["check", "--settings"]] {
        let output = run(arguments);

        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}

/// Guards against a command without an example in its help.
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

/// Guards against a check that refuses the shipped example.
#[test]
fn check_accepts_the_example() {
    let settings = file("cli-example.toml", &example());

    let output = run(&["check", "--settings", &settings]);

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

/// Guards against settings errors without file, line and key.
#[test]
fn check_names_file_line_and_key() {
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

/// Guards against a serve that starts with invalid settings.
#[test]
fn serve_refuses_invalid_settings() {
    let settings = file("cli-serve.toml", &example_with("zone = ", "zones = "));

    let output = run(&["serve", "--settings", &settings]);

    assert_eq!(output.status.code(), Some(4));
}

/// Guards against a printed digest that does not belong to the printed key.
#[test]
fn key_and_digest_belong_together() {
    let output = run(&["key", "--json"]);

    let pair: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let key = pair["key"].as_str().expect("key");
    let digest = Digest::of(key.as_bytes()).to_string();
    assert_eq!(pair["digest"].as_str(), Some(digest.as_str()));
    assert_eq!(key.len(), 64);
}

/// Guards against scripts that take a refused patch for an accepted one.
#[tokio::test(flavor = "multi_thread")]
async fn patch_exit_codes_tell_accepted_stale_invalid_and_unreachable() {
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
        let output = run_beside(patch_arguments(url, &credential, patch)).await;

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

/// Guards against a wrong credential that looks like success.
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

    let output = run_beside(arguments.map(str::to_owned).to_vec()).await;

    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    assert!(!stderr(&output).contains("guess"));
}

/// Runs `fulmargw state --json` with further options against a fake host.
async fn state(name: &str, options: &[&str]) -> Output {
    let url = operator(Fake::default()).await;
    let credential = file(&format!("cli-state-{name}"), CREDENTIAL);
    let common = ["state", "--json", "--operator", &url, "--credential-file"];
    let arguments = [&common[..], &[credential.as_str()], options].concat();
    run_beside(arguments.into_iter().map(str::to_owned).collect()).await
}

/// Guards against an explanation of a request that is lost among those of others.
#[tokio::test(flavor = "multi_thread")]
async fn state_of_a_request_has_its_decisions_only() {
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

/// Guards against decisions of another service in an answer about one service.
#[tokio::test(flavor = "multi_thread")]
async fn state_of_a_service_has_its_decisions_only() {
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

/// Guards against an empty answer that looks like a request without a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn state_without_a_match_fails_and_names_it() {
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

/// Guards against an address without scheme, which was reported as a relative URL.
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

/// Options that the help of a command names.
fn options(command: &str) -> Vec<String> {
    stdout(&run(&[command, "--help"]))
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.len() > 2)
        .map(|word| word.trim_end_matches([',', ']']).to_owned())
        .collect()
}

/// Guards against a manual or completions that miss a command or an option.
#[test]
fn manual_and_completions_name_every_command_and_option() {
    let files = ["fulmargw.1", "fulmargw.bash", "_fulmargw", "fulmargw.fish"];
    for name in files {
        let path = fixture::root().join("extra").join(name);
        let text = std::fs::read_to_string(path).expect("read the file");
        let text = text.replace("\\-", "-");
        for command in COMMANDS {
            assert!(text.contains(command), "{name} misses {command}");
            for option in options(command) {
                let bare = format!("-l {}", option.trim_start_matches('-'));
                assert!(
                    text.contains(&option) || text.contains(&bare),
                    "{name} misses {option}"
                );
            }
        }
    }
}
