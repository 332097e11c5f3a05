//! Parser of the small part of SQL that the stand-in supports.

use super::error::Error;

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// A statement without effect; the text is its command tag.
    Accepted(&'static str),
    /// Inserts a key or replaces its value: key, value.
    Put(Operand, Operand),
    /// Replaces the value if the key exists: key, value.
    Set(Operand, Operand),
    /// Appends to the value of a key: key, value.
    Append(Operand, Operand),
    /// Reads the value of a key.
    Get(Operand),
    /// Reads all keys and values.
    Scan,
    /// `SELECT` of a number, such as `SELECT 1`.
    Number(String),
    /// Call of a group function: its name and literal arguments.
    Call(String, Vec<String>),
}

/// A key or value in a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operand {
    /// A literal.
    Text(String),
    /// A parameter; the first has number 1.
    Parameter(usize),
}

impl Operand {
    /// Returns the text of the operand with the parameters filled in.
    pub fn text(&self, parameters: &[String]) -> Result<String, Error> {
        match self {
            Self::Text(text) => Ok(text.clone()),
            Self::Parameter(number) => parameters
                .get(number.wrapping_sub(1))
                .cloned()
                .ok_or_else(|| Error::syntax("a parameter is missing")),
        }
    }
}

impl Statement {
    /// Returns the names of the result columns; empty if the statement returns no rows.
    pub fn columns(&self) -> &'static [&'static str] {
        match self {
            Self::Get(_) => &["value"],
            Self::Scan => &["key", "value"],
            Self::Number(_) => &["?column?"],
            Self::Call(name, _) => super::function::columns(name),
            _ => &[],
        }
    }

    /// Returns the number of parameters.
    pub fn parameter_count(&self) -> usize {
        let number = |operand: &Operand| match operand {
            Operand::Text(_) => 0,
            Operand::Parameter(number) => *number,
        };
        match self {
            Self::Put(key, value) | Self::Set(key, value) | Self::Append(key, value) => {
                number(key).max(number(value))
            }
            Self::Get(key) => number(key),
            _ => 0,
        }
    }

    /// Reports whether the statement occupies a slot while it runs.
    pub fn needs_slot(&self) -> bool {
        matches!(
            self,
            Self::Put(..) | Self::Set(..) | Self::Append(..) | Self::Get(_) | Self::Scan
        ) || matches!(self, Self::Number(_))
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Word(String),
    Text(String),
    Parameter(usize),
    Symbol(char),
}

/// Parses the statements of a query, which are separated by `;`.
pub fn parse(query: &str) -> Result<Vec<Statement>, Error> {
    let tokens = tokenize(query)?;
    tokens
        .split(|token| *token == Token::Symbol(';'))
        .filter(|tokens| !tokens.is_empty())
        .map(parse_statement)
        .collect()
}

fn tokenize(query: &str) -> Result<Vec<Token>, Error> {
    let mut tokens = Vec::new();
    let mut rest = query.trim_start();
    while let Some(first) = rest.chars().next() {
        let (token, length) = match first {
            '\'' => parse_literal(rest)?,
            '$' => {
                let length = 1 + prefix_length(&rest[1..], |c| c.is_ascii_digit());
                let number = rest[1..length].parse();
                let number = number.map_err(|_| Error::syntax("bad parameter number"))?;
                (Token::Parameter(number), length)
            }
            c if c.is_alphanumeric() || c == '_' => {
                let length = prefix_length(rest, |c| c.is_alphanumeric() || c == '_');
                (Token::Word(rest[..length].to_lowercase()), length)
            }
            symbol => (Token::Symbol(symbol), symbol.len_utf8()),
        };
        tokens.push(token);
        rest = rest[length..].trim_start();
    }
    Ok(tokens)
}

fn prefix_length(text: &str, accept: impl Fn(char) -> bool) -> usize {
    text.find(|c| !accept(c)).unwrap_or(text.len())
}

/// Parses a literal in single quotes, in which a doubled quote stands for one, and returns it
/// with its length in the text, in bytes.
fn parse_literal(text: &str) -> Result<(Token, usize), Error> {
    let mut value = String::new();
    let mut rest = &text[1..];
    loop {
        let end = rest
            .find('\'')
            .ok_or_else(|| Error::syntax("unterminated literal"))?;
        value.push_str(&rest[..end]);
        rest = &rest[end + 1..];
        if !rest.starts_with('\'') {
            return Ok((Token::Text(value), text.len() - rest.len()));
        }
        value.push('\'');
        rest = &rest[1..];
    }
}

fn parse_statement(tokens: &[Token]) -> Result<Statement, Error> {
    let keyword = match tokens.first() {
        Some(Token::Word(word)) => word.as_str(),
        _ => "",
    };
    match keyword {
        "begin" | "start" => Ok(Statement::Begin),
        "commit" | "end" => Ok(Statement::Commit),
        "rollback" => Ok(Statement::Rollback),
        "create" => Ok(Statement::Accepted("CREATE TABLE")),
        "set" => Ok(Statement::Accepted("SET")),
        "insert" => parse_insert(tokens),
        "update" => parse_update(tokens),
        "select" => parse_select(tokens),
        _ => Err(Error::syntax("the statement is not supported")),
    }
}

fn parse_insert(tokens: &[Token]) -> Result<Statement, Error> {
    let values = tokens
        .iter()
        .position(|token| *token == Token::Word("values".to_owned()));
    let operands = operands(&tokens[values.unwrap_or(tokens.len())..]);
    match <[Operand; 2]>::try_from(operands) {
        Ok([key, value]) => Ok(Statement::Put(key, value)),
        Err(_) => Err(Error::syntax("INSERT needs a key and a value")),
    }
}

fn parse_update(tokens: &[Token]) -> Result<Statement, Error> {
    let appends = tokens.contains(&Token::Symbol('|'));
    match <[Operand; 2]>::try_from(operands(tokens)) {
        Ok([value, key]) if appends => Ok(Statement::Append(key, value)),
        Ok([value, key]) => Ok(Statement::Set(key, value)),
        Err(_) => Err(Error::syntax("UPDATE needs a value and a key")),
    }
}

fn parse_select(tokens: &[Token]) -> Result<Statement, Error> {
    if let Some(Token::Word(word)) = tokens.get(1)
        && word.starts_with(|c: char| c.is_ascii_digit())
    {
        return Ok(Statement::Number(word.clone()));
    }
    if let Some(Token::Word(word)) = tokens.get(3)
        && word.starts_with("group_")
    {
        return Ok(Statement::Call(word.clone(), arguments(&tokens[4..])));
    }
    let filtered = tokens.contains(&Token::Word("where".to_owned()));
    match (operands(tokens).pop(), filtered) {
        (Some(key), true) => Ok(Statement::Get(key)),
        (None, false) => Ok(Statement::Scan),
        _ => Err(Error::syntax("SELECT needs no condition or one key")),
    }
}

fn operands(tokens: &[Token]) -> Vec<Operand> {
    tokens
        .iter()
        .filter_map(|token| match token {
            Token::Text(text) => Some(Operand::Text(text.clone())),
            Token::Parameter(number) => Some(Operand::Parameter(*number)),
            Token::Word(_) | Token::Symbol(_) => None,
        })
        .collect()
}

fn arguments(tokens: &[Token]) -> Vec<String> {
    tokens
        .iter()
        .filter_map(|token| match token {
            Token::Text(text) | Token::Word(text) => Some(text.clone()),
            Token::Parameter(_) | Token::Symbol(_) => None,
        })
        .collect()
}
