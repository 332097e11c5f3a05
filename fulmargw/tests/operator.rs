//! HTTP operator interface with a fake handler.

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

/// Guards against access without the credential.
#[tokio::test]
async fn only_health_needs_no_credential() {
    let url = operator(Fake::default()).await;
    for path in ["/state", "/configuration", "/metrics"] {
        for credential in ["", "operator-credentia", "operator-credential2"] {
            let (unauthorized, _) = get(&url, path, credential).await;
            assert_eq!(unauthorized, 401, "{path} with {credential:?}");
        }

        let (authorized, _) = get(&url, path, CREDENTIAL).await;

        assert_eq!(authorized, 200, "{path}");
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

/// Guards against a host that gets new callers but cannot serve them.
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

/// Guards against complete key digests in output that operators may share.
#[tokio::test]
async fn configuration_shortens_key_digests() {
    let url = operator(Fake::default()).await;

    let (_, body) = get(&url, "/configuration", CREDENTIAL).await;

    let digest = Digest::of(b"secret").to_string();
    assert!(body.contains(&format!("\"{}..\"", &digest[..8])));
    assert!(!body.contains(&digest[..9]));
}

/// Guards against different results for the same patch in TOML and JSON.
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
        let (status, response_body) = post(&url, content_type, body).await;

        assert_eq!(status, 200, "{content_type}");
        let expected =
            json!({"version": 8, "patch": "p", "confirmed": ["host-a"], "pending": ["host-b"]});
        assert_eq!(response_body, expected, "{content_type}");
    }
}

/// Guards against a rejection from which the operator cannot create a new patch.
#[tokio::test]
async fn stale_patch_is_rejected_with_the_current_version() {
    let url = operator(Fake::default()).await;

    let (status, response_body) =
        post(&url, "application/json", "{\"base\":6,\"changes\":[]}").await;

    assert_eq!(status, 409);
    assert_eq!(response_body, json!({"error": "stale", "current": 7}));
}

/// Guards against a rejection that does not locate the error.
#[tokio::test]
async fn invalid_patch_is_rejected_with_change_and_path() {
    let url = operator(Fake::default()).await;
    let body = "base = 7\n[[changes]]\nremove_route = \"r\"\n\
                [[changes]]\nput_account = {name = \"a\", rate = \"fast\", burst = 1.0}\n";

    let (status, response_body) = post(&url, "application/toml", body).await;

    assert_eq!(status, 422);
    assert_eq!(response_body["error"], "invalid");
    assert_eq!(response_body["change"], 2);
    assert_eq!(response_body["path"], "changes[1].put_account.rate");
}

/// Guards against a reported syntax error without its line.
#[tokio::test]
async fn syntax_error_is_reported_with_its_line() {
    let url = operator(Fake::default()).await;

    let (status, response_body) = post(&url, "application/toml", "base = 7\nchanges = [\n").await;

    assert_eq!(status, 422);
    let cause = response_body["cause"].as_str().expect("cause");
    assert!(cause.contains("line 2"), "{cause}");
}

/// Guards against a body of another content type that is parsed as a patch.
#[tokio::test]
async fn other_content_types_are_rejected() {
    let url = operator(Fake::default()).await;

    let (status, _) = post(&url, "text/plain", "{\"base\":7,\"changes\":[]}").await;

    assert_eq!(status, 415);
}
