//! Recognition of the statements that the front end treats itself.

use crate::{
    error::Failure,
    lexer::{Lexer, Token},
    shared,
    variable::Variable,
};

/// Words of a statement that are looked at: `ROLLBACK TRANSACTION AND NO CHAIN`.
const LEADING_WORDS: usize = 5;

/// What the front end knows about a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// There is no statement.
    Empty,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction with a commit.
    Commit,
    /// Ends a transaction with a rollback.
    Rollback,
    /// Changes a session setting.
    Set(Variable, String),
    /// Changes a setting of the driver, which has no effect.
    Ignored,
    /// Shows a session setting.
    Show(Variable),
    /// Anything else, which the backend server runs.
    Other,
}

impl Kind {
    /// Reports whether the statement ends a transaction.
    #[must_use]
    pub fn is_end(&self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    /// Reports whether the front end always answers the statement.
    #[must_use]
    pub fn is_setting(&self) -> bool {
        matches!(self, Self::Set(..) | Self::Ignored | Self::Show(_))
    }

    /// Reports whether the statement must be alone in a query.
    fn is_alone(&self) -> bool {
        !matches!(self, Self::Empty | Self::Other)
    }
}

/// Recognises the statements of a query.
///
/// # Errors
///
/// If a statement is not supported, or if one of several controls a transaction or changes a
/// session setting.
pub fn recognise(query: &str) -> Result<Kind, Failure> {
    let mut lexer = Lexer::new(query).peekable();
    let mut first = Kind::Empty;
    let mut count = 0_usize;
    let mut alone = false;
    while lexer.peek().is_some() {
        let kind = kind(&mut lexer)?;
        // The rest of the statement is read as tokens, so quotes in it hide no boundary.
        for token in lexer.by_ref() {
            if token == Token::Semicolon {
                break;
            }
            shared::check_token(&token)?;
        }
        if kind == Kind::Empty {
            continue;
        }
        count += 1;
        alone |= kind.is_alone();
        if count == 1 {
            first = kind;
        }
    }
    if count > 1 && alone {
        let what = "transaction control or a fulmar setting in a query of several statements";
        return Err(Failure::unsupported(what));
    }
    Ok(first)
}

/// Recognises one statement and leaves its end unread.
fn kind<'a>(
    lexer: &mut std::iter::Peekable<impl Iterator<Item = Token<'a>>>,
) -> Result<Kind, Failure> {
    let mut tokens = Vec::with_capacity(LEADING_WORDS);
    while tokens.len() < LEADING_WORDS + 2 {
        match lexer.next_if(|token| *token != Token::Semicolon) {
            Some(token) => tokens.push(token),
            None => break,
        }
    }
    tokens.iter().try_for_each(shared::check_token)?;
    let words: Vec<String> = tokens.iter().map(upper).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => Ok(Kind::Empty),
        ["BEGIN", ..] | ["START", "TRANSACTION", ..] => Ok(Kind::Begin),
        ["COMMIT" | "END", rest @ ..] => end(Kind::Commit, rest),
        ["ROLLBACK" | "ABORT", rest @ ..] => end(Kind::Rollback, rest),
        ["PREPARE", "TRANSACTION", ..] => Err(Failure::unsupported("two-phase commit")),
        ["COPY", ..] => Err(Failure::unsupported("COPY")),
        ["SET", "SESSION", "FULMAR", ".", ..] => set(&tokens[4..]),
        ["SET", "FULMAR", ".", ..] => set(&tokens[3..]),
        ["SET", "LOCAL", "FULMAR", ".", ..] => {
            Err(Failure::unsupported("SET LOCAL of a fulmar setting"))
        }
        ["SHOW", "FULMAR", ".", ..] => show(&tokens[3..]),
        words if shared::is_ignored_setting(words) => Ok(Kind::Ignored),
        words => shared::check_statement(words).map(|()| Kind::Other),
    }
}

/// Returns a word in capitals, a quoted identifier as no keyword, and a dot as itself.
fn upper(token: &Token<'_>) -> String {
    match token {
        Token::Word(word) => word.to_ascii_uppercase(),
        Token::Other(b'.') => ".".into(),
        Token::Identifier(_) | Token::Text(_) | Token::Semicolon | Token::Other(_) => String::new(),
    }
}

fn end(kind: Kind, rest: &[&str]) -> Result<Kind, Failure> {
    match rest {
        ["PREPARED", ..] => Err(Failure::unsupported("two-phase commit")),
        ["TO", ..] | ["WORK" | "TRANSACTION", "TO", ..] => Ok(Kind::Other),
        ["AND", "CHAIN", ..] | ["WORK" | "TRANSACTION", "AND", "CHAIN", ..] => {
            Err(Failure::unsupported("AND CHAIN"))
        }
        _ => Ok(kind),
    }
}

fn variable(token: Option<&Token<'_>>) -> Result<Variable, Failure> {
    let name = match token {
        Some(Token::Word(name)) => name,
        _ => "",
    };
    Variable::find(name).ok_or_else(|| Failure::unknown_setting(name))
}

fn set(tokens: &[Token<'_>]) -> Result<Kind, Failure> {
    let variable = variable(tokens.first())?;
    let assigned = match tokens.get(1) {
        Some(Token::Other(b'=')) => true,
        Some(Token::Word(word)) => word.eq_ignore_ascii_case("to"),
        _ => false,
    };
    let value = match (assigned, &tokens.get(2..)) {
        (true, Some([Token::Text(text) | Token::Identifier(text)])) => text.to_string(),
        (true, Some([Token::Word(word)])) if word.eq_ignore_ascii_case("default") => String::new(),
        (true, Some([Token::Word(word)])) => (*word).into(),
        _ => return Err(Failure::malformed_value(variable.name())),
    };
    Ok(Kind::Set(variable, value))
}

fn show(tokens: &[Token<'_>]) -> Result<Kind, Failure> {
    variable(tokens.first()).map(Kind::Show)
}
