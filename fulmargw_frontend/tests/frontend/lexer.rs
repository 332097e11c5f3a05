//! Recognition of statements in SQL text.

use {
    fulmargw_frontend::{
        lexer::Lexer,
        statement::{Kind, recognise},
        variable::Variable,
    },
    quickcheck::quickcheck,
};

/// Guards the recognition of transaction control by its first keywords.
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
        assert_eq!(recognise(query), Ok(expected), "{query}");
    }
}

/// Guards against quotes and comments that are taken for the end of a statement.
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
        assert_eq!(recognise(query), Ok(Kind::Other), "{query}");
    }
}

/// Guards against transaction control that is hidden behind something like a quote.
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
        let result = recognise(query);
        assert_eq!(result.unwrap_err().code, "0A000", "{query}");
    }
}

/// Guards the forms in which clients write session settings.
#[test]
fn settings_are_recognised() {
    let id = |value: &str| Kind::Set(Variable::RequestId, value.into());
    let cases = [
        ("SET fulmar.request_id = 'a-1'", id("a-1")),
        ("set session Fulmar.Request_ID to 'it''s';", id("it's")),
        ("SET fulmar.request_id TO DEFAULT", id("")),
        ("SHOW fulmar.position", Kind::Show(Variable::Position)),
        ("SET other.request_id = 'a'", Kind::Other),
    ];
    for (query, expected) in cases {
        assert_eq!(recognise(query), Ok(expected), "{query}");
    }
    let unknown = recognise("SET fulmar.unknown = 1").unwrap_err();
    assert_eq!(unknown.code, "42704");
}

quickcheck! {
    /// Guards against panics and endless loops on arbitrary text.
    fn lexer_ends(text: String) -> bool {
        Lexer::new(&text).count() <= text.len()
    }

    /// Guards against quoted text that escapes its quotes.
    fn quoted_text_is_one_statement(text: String) -> bool {
        let query = format!("SELECT '{}'", text.replace('\'', "''"));
        recognise(&query) == Ok(Kind::Other)
    }
}
