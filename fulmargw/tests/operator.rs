//! Operator interface in front of a fake process.

mod fixture;

use fixture::{CREDENTIAL, Fake, operator};
use fulmargw::operator::message::Health;
use fulmargw_model::client_account::Digest;
use serde_json::{Value, json};

async fn get(url: &str, path: &str, credential: &str) -> (u16, String) {
    let request = reqwest::Client::new().get(format!("{url}{path}"));
    let response = request.bearer_auth(credential).send().await.expect("send");
    (
        response.status().as_u16(),
        response.text().await.expect("body"),
    )
}

async fn post(url: &str, content_type: &str, body: &str) -> (u16, Value) {
    let request = reqwest::Client::new()
        .post(format!("{url}/patch"))
        .header("content-type", content_type)
        .body(body.to_owned());
    let response = request.bearer_auth(CREDENTIAL).send().await.expect("send");
    (
        response.status().as_u16(),
        response.json().await.expect("JSON"),
    )
}

/// Guards against an interface that answers without the credential.
#[tokio::test]
async fn only_health_needs_no_credential() {
    let url = operator(Fake::default()).await;
    for path in ["/state", "/configuration", "/metrics"] {
        for credential in ["", "operator-credentia", "operator-credential2"] {
            let (denied, _) = get(&url, path, credential).await;
            assert_eq!(denied, 401, "{path} with {credential:?}");
        }

        let (allowed, _) = get(&url, path, CREDENTIAL).await;

        assert_eq!(allowed, 200, "{path}");
    }
    let health = reqwest::get(format!("{url}/health")).await.expect("send");
    assert_eq!(health.status().as_u16(), 200);
}

/// Guards against a patch that is accepted without the credential.
#[tokio::test]
async fn patch_needs_the_credential() {
    let url = operator(Fake::default()).await;

    let response = reqwest::Client::new()
        .post(format!("{url}/patch"))
        .header("content-type", "application/json")
        .body("{\"base\":7,\"changes\":[]}")
        .send()
        .await
        .expect("send");

    assert_eq!(response.status().as_u16(), 401);
}

/// Guards against a balancer that sends callers to a host which cannot serve them.
#[tokio::test]
async fn health_fails_while_draining_or_without_lease() {
    for health in [Health::Draining, Health::Unleased] {
        let fake = Fake {
            health,
            ..Fake::default()
        };
        let url = operator(fake).await;

        let (status, _) = get(&url, "/health", "").await;

        assert_eq!(status, 503, "{health:?}");
    }
}

/// Guards against whole key digests in a view that operators copy into tickets.
#[tokio::test]
async fn configuration_shortens_key_digests() {
    let url = operator(Fake::default()).await;

    let (_, body) = get(&url, "/configuration", CREDENTIAL).await;

    let digest = Digest::of(b"secret").to_string();
    assert!(body.contains(&format!("\"{}..\"", &digest[..8])));
    assert!(!body.contains(&digest[..9]));
}

/// Guards against different readings of the same patch in TOML and JSON.
#[tokio::test]
async fn patch_is_accepted_in_both_encodings() {
    let url = operator(Fake::default()).await;
    let bodies = [
        (
            "application/json",
            "{\"base\":7,\"id\":\"p\",\"changes\":[]}",
        ),
        (
            "application/toml; charset=utf-8",
            "base = 7\nid = \"p\"\nchanges = []\n",
        ),
    ];
    for (content_type, body) in bodies {
        let (status, answer) = post(&url, content_type, body).await;

        assert_eq!(status, 200, "{content_type}");
        let expected =
            json!({"version": 8, "patch": "p", "confirmed": ["host-a"], "pending": ["host-b"]});
        assert_eq!(answer, expected, "{content_type}");
    }
}

/// Guards against a stale patch whose author does not learn the current version.
#[tokio::test]
async fn stale_patch_is_refused_with_the_current_version() {
    let url = operator(Fake::default()).await;

    let (status, answer) = post(&url, "application/json", "{\"base\":6,\"changes\":[]}").await;

    assert_eq!(status, 409);
    assert_eq!(answer, json!({"error": "stale", "current": 7}));
}

/// Guards against a refusal that does not say where the mistake is.
#[tokio::test]
async fn invalid_patch_names_change_and_path() {
    let url = operator(Fake::default()).await;
    let body = "base = 7\n[[changes]]\nremove_route = \"r\"\n\
                [[changes]]\nput_account = {name = \"a\", rate = \"fast\", burst = 1.0}\n";

    let (status, answer) = post(&url, "application/toml", body).await;

    assert_eq!(status, 422);
    assert_eq!(answer["error"], "invalid");
    assert_eq!(answer["change"], 2);
    assert_eq!(answer["path"], "changes[1].put_account.rate");
}

/// Guards against a syntax error in a long patch file without its line.
#[tokio::test]
async fn syntax_error_names_the_line() {
    let url = operator(Fake::default()).await;

    let (status, answer) = post(&url, "application/toml", "base = 7\nchanges = [\n").await;

    assert_eq!(status, 422);
    let cause = answer["cause"].as_str().expect("cause");
    assert!(cause.contains("line 2"), "{cause}");
}

/// Guards against a body of another type that is read as a patch.
#[tokio::test]
async fn other_content_types_are_refused() {
    let url = operator(Fake::default()).await;

    let (status, _) = post(&url, "text/plain", "{\"base\":7,\"changes\":[]}").await;

    assert_eq!(status, 415);
}
