//! Classification of SQL statements.

use fulmargw_frontend::{
    lexer::Lexer,
    statement::{Kind, classify},
    variable::Variable,
};
use quickcheck::quickcheck;

/// Guards against transaction control that is not recognised by its keywords.
#[test]
fn transaction_control_is_recognised() {
    let cases = [
        ("BEGIN", Kind::Begin),
        (
            "/* a /* b */ */ -- c\n start\ttransaction read only;",
            Kind::Begin,
        ),
        ("commit work", Kind::Commit),
        ("END;", Kind::Commit),
        (";;ABORT", Kind::Rollback),
        ("ROLLBACK TO SAVEPOINT s", Kind::Other),
        ("rollback transaction to s", Kind::Other),
        ("SAVEPOINT s", Kind::Other),
        ("COMMIT AND NO CHAIN", Kind::Commit),
        ("\"begin\"", Kind::Other),
        (" ; -- nothing", Kind::Empty),
        ("SELECT 1; SELECT 2", Kind::Other),
    ];
    for (query, expected) in cases {
        assert_eq!(classify(query), Ok(expected), "{query}");
    }
}

/// Guards against semicolons in quotes and comments that are taken for the end of a statement.
#[test]
fn quotes_hide_semicolons() {
    let cases = [
        "SELECT '; COMMIT'",
        "SELECT 'it''s; COMMIT'",
        "SELECT E'\\'; COMMIT'",
        "SELECT e'a' -- c\n '\\'; COMMIT'",
        "SELECT \"; COMMIT\"",
        "SELECT $$; COMMIT;$$",
        "SELECT $t$ $$ ; COMMIT $t$",
        "SELECT 1 -- ; COMMIT",
        "SELECT /* ; COMMIT /* */ ; */ 1",
    ];
    for query in cases {
        assert_eq!(classify(query), Ok(Kind::Other), "{query}");
    }
}

/// Guards against transaction control that is hidden behind text that only looks like a quote.
#[test]
fn control_in_several_statements_is_refused() {
    let cases = [
        "SELECT 1; COMMIT",
        "BEGIN; SELECT 1",
        "SELECT '\\'; COMMIT; --'",
        "SELECT a$b$; COMMIT; SELECT $b$",
        "SELECT $1; COMMIT",
        "SELECT 1$a$ ' $a$; COMMIT; '",
        "SELECT $é; COMMIT; SELECT 1",
        "SELECT 1; SET fulmar.max_age_ms = 1",
        "COMMIT AND CHAIN",
        "COMMIT PREPARED 'x'",
        "PREPARE TRANSACTION 'x'",
        "COPY t FROM STDIN",
    ];
    for query in cases {
        let result = classify(query);
        assert_eq!(result.unwrap_err().code, "0A000", "{query}");
    }
}

/// Guards against session settings that are not recognised in one of their SQL forms.
#[test]
fn settings_are_recognised() {
    let id = |value: &str| Kind::Set(Variable::RequestId, value.into());
    let cases = [
        ("SET fulmar.request_id = 'a-1'", id("a-1")),
        ("set session Fulmar.Request_ID to 'it''s';", id("it's")),
        ("SET fulmar.request_id TO DEFAULT", id("")),
        ("SHOW fulmar.position", Kind::Show(Variable::Position)),
    ];
    for (query, expected) in cases {
        assert_eq!(classify(query), Ok(expected), "{query}");
    }
    let other = classify("SET other.request_id = 'a'").unwrap_err();
    assert_eq!(other.code, "0A000");
    let unknown = classify("SET fulmar.unknown = 1").unwrap_err();
    assert_eq!(unknown.code, "42704");
}

quickcheck! {
    /// Guards against panics and endless loops on arbitrary text.
    fn lexer_ends(text: String) -> bool {
        Lexer::new(&text).count() <= text.len()
    }

    /// Guards against quoted text of which a part is read as SQL.
    fn quoted_text_is_one_statement(text: String) -> bool {
        let query = format!("SELECT '{}'", text.replace('\'', "''"));
        classify(&query) == Ok(Kind::Other)
    }
}

/// Guards against session state that one caller sets on a shared connection and the next caller
/// inherits.
#[test]
fn session_state_of_shared_connections_is_refused() {
    let cases = [
        "SET search_path = other",
        "set session role admin",
        "RESET ALL",
        "DISCARD ALL",
        "LISTEN jobs",
        "PREPARE p AS SELECT 1",
        "EXECUTE p",
        "CREATE TEMP TABLE t (k text)",
        "create local temporary table t (k text)",
        "SELECT 1; SET search_path = other",
        "SELECT pg_advisory_lock(1)",
        "SELECT \"set_config\"('a', 'b', false)",
    ];
    for query in cases {
        assert!(classify(query).is_err(), "{query} was accepted");
    }
}

/// Guards against callers that fence a primary or cancel the request of another caller.
#[test]
fn functions_of_the_group_are_refused() {
    let cases = [
        "SELECT * FROM group_fence(9)",
        "SELECT 1; select * from GROUP_CANCEL('id', 1)",
        "SELECT * FROM public.\"group_record\"('id', 1)",
    ];
    for query in cases {
        assert!(classify(query).is_err(), "{query} was accepted");
    }
}

/// Guards against rejected statements that are safe on a shared connection.
#[test]
fn local_settings_and_text_are_accepted() {
    let cases = [
        ("SET LOCAL search_path = other", Kind::Other),
        ("SET TRANSACTION READ ONLY", Kind::Other),
        ("SELECT 'group_fence', 'LISTEN'", Kind::Other),
        ("CREATE TABLE temp_jobs (k text)", Kind::Other),
        ("SET application_name = 'shop'", Kind::IgnoredSetting),
        ("SET extra_float_digits = 3", Kind::IgnoredSetting),
    ];
    for (query, expected) in cases {
        assert_eq!(classify(query), Ok(expected), "{query}");
    }
}
