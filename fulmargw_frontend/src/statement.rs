//! Classifies SQL statements: transaction control, session settings and others.

use crate::{
    error::Failure,
    lexer::{Lexer, Token},
    restriction,
    variable::Variable,
};

/// Number of leading words that determine the kind of a statement. The longest such sequence is
/// `ROLLBACK TRANSACTION AND NO CHAIN`.
const MAX_LEADING_WORDS: usize = 5;

/// Kind of a statement, as far as the front end distinguishes it.
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
    /// Changes a setting that the front end ignores.
    IgnoredSetting,
    /// Shows a session setting.
    Show(Variable),
    /// Any other statement; a backend server runs it.
    Other,
}

impl Kind {
    /// Returns whether the statement ends a transaction.
    #[must_use]
    pub fn ends_transaction(&self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    /// Returns whether the statement reads or changes a session setting; the front end executes all
    /// such statements itself.
    #[must_use]
    pub fn is_setting(&self) -> bool {
        matches!(self, Self::Set(..) | Self::IgnoredSetting | Self::Show(_))
    }

    /// Returns whether the statement must be the only one in its query.
    fn must_be_single(&self) -> bool {
        !matches!(self, Self::Empty | Self::Other)
    }
}

/// Classifies a query by its first statement.
///
/// # Errors
///
/// If a statement is not supported, or if one of several controls a transaction or changes a
/// session setting.
pub fn classify(query: &str) -> Result<Kind, Failure> {
    let mut lexer = Lexer::new(query).peekable();
    let mut first = Kind::Empty;
    let mut count = 0_usize;
    let mut has_single = false;
    while lexer.peek().is_some() {
        let kind = classify_statement(&mut lexer)?;
        // The rest is also split into tokens, so that a semicolon in quotes is not taken for the
        // end of the statement.
        for token in lexer.by_ref() {
            if token == Token::Semicolon {
                break;
            }
            restriction::check_token(&token)?;
        }
        if kind == Kind::Empty {
            continue;
        }
        count += 1;
        has_single |= kind.must_be_single();
        if count == 1 {
            first = kind;
        }
    }
    if count > 1 && has_single {
        let what = "transaction control or a fulmar setting in a query of several statements";
        return Err(Failure::unsupported(what));
    }
    Ok(first)
}

/// Classifies the next statement from its leading tokens and leaves the others unread.
fn classify_statement<'a>(
    lexer: &mut std::iter::Peekable<impl Iterator<Item = Token<'a>>>,
) -> Result<Kind, Failure> {
    let mut tokens = Vec::with_capacity(MAX_LEADING_WORDS);
    while tokens.len() < MAX_LEADING_WORDS + 2 {
        match lexer.next_if(|token| *token != Token::Semicolon) {
            Some(token) => tokens.push(token),
            None => break,
        }
    }
    tokens.iter().try_for_each(restriction::check_token)?;
    let words: Vec<String> = tokens.iter().map(uppercase_word).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => Ok(Kind::Empty),
        ["BEGIN", ..] | ["START", "TRANSACTION", ..] => Ok(Kind::Begin),
        ["COMMIT" | "END", rest @ ..] => classify_end(Kind::Commit, rest),
        ["ROLLBACK" | "ABORT", rest @ ..] => classify_end(Kind::Rollback, rest),
        ["PREPARE", "TRANSACTION", ..] => Err(Failure::unsupported("two-phase commit")),
        ["COPY", ..] => Err(Failure::unsupported("COPY")),
        ["SET", "SESSION", "FULMAR", ".", ..] => parse_set(&tokens[4..]),
        ["SET", "FULMAR", ".", ..] => parse_set(&tokens[3..]),
        ["SET", "LOCAL", "FULMAR", ".", ..] => {
            Err(Failure::unsupported("SET LOCAL of a fulmar setting"))
        }
        ["SHOW", "FULMAR", ".", ..] => parse_show(&tokens[3..]),
        words if restriction::is_ignored_setting(words) => Ok(Kind::IgnoredSetting),
        words => restriction::check_statement(words).map(|()| Kind::Other),
    }
}

/// Returns a word in upper case, a dot as itself and any other token as an empty string. A quoted
/// identifier is no keyword.
fn uppercase_word(token: &Token<'_>) -> String {
    match token {
        Token::Word(word) => word.to_ascii_uppercase(),
        Token::Other(b'.') => ".".into(),
        Token::Identifier(_) | Token::Text(_) | Token::Semicolon | Token::Other(_) => String::new(),
    }
}

/// Classifies the end of a transaction by the words after the keyword.
fn classify_end(kind: Kind, rest: &[&str]) -> Result<Kind, Failure> {
    match rest {
        ["PREPARED", ..] => Err(Failure::unsupported("two-phase commit")),
        ["TO", ..] | ["WORK" | "TRANSACTION", "TO", ..] => Ok(Kind::Other),
        ["AND", "CHAIN", ..] | ["WORK" | "TRANSACTION", "AND", "CHAIN", ..] => {
            Err(Failure::unsupported("AND CHAIN"))
        }
        _ => Ok(kind),
    }
}

fn find_variable(token: Option<&Token<'_>>) -> Result<Variable, Failure> {
    let name = match token {
        Some(Token::Word(name)) => name,
        _ => "",
    };
    Variable::find(name).ok_or_else(|| Failure::unknown_setting(name))
}

fn parse_set(tokens: &[Token<'_>]) -> Result<Kind, Failure> {
    let variable = find_variable(tokens.first())?;
    let has_assignment = match tokens.get(1) {
        Some(Token::Other(b'=')) => true,
        Some(Token::Word(word)) => word.eq_ignore_ascii_case("to"),
        _ => false,
    };
    let value = match (has_assignment, &tokens.get(2..)) {
        (true, Some([Token::Text(text) | Token::Identifier(text)])) => text.to_string(),
        (true, Some([Token::Word(word)])) if word.eq_ignore_ascii_case("default") => String::new(),
        (true, Some([Token::Word(word)])) => (*word).into(),
        _ => return Err(Failure::malformed_value(variable.name())),
    };
    Ok(Kind::Set(variable, value))
}

fn parse_show(tokens: &[Token<'_>]) -> Result<Kind, Failure> {
    find_variable(tokens.first()).map(Kind::Show)
}
