//! Splits SQL text into tokens, as far as needed to find keywords and the ends of statements.

use std::borrow::Cow;

/// A token of SQL text. Comments and white space yield no tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Token<'a> {
    /// A keyword, an unquoted identifier or a number.
    Word(&'a str),
    /// A quoted identifier without its quotes.
    Identifier(Cow<'a, str>),
    /// A quoted string without its quotes.
    Text(Cow<'a, str>),
    /// The end of a statement.
    Semicolon,
    /// Any other byte.
    Other(u8),
}

/// Iterator over the tokens of SQL text. An unterminated quote or comment extends to the end.
#[derive(Debug, Clone)]
pub struct Lexer<'a> {
    text: &'a str,
    position: usize,
}

impl<'a> Lexer<'a> {
    /// Creates a lexer at the start of a text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        Self { text, position: 0 }
    }

    fn rest(&self) -> &'a [u8] {
        &self.text.as_bytes()[self.position..]
    }

    fn peek(&self, offset: usize) -> Option<u8> {
        self.rest().get(offset).copied()
    }

    fn advance(&mut self, bytes: usize) {
        self.position = (self.position + bytes).min(self.text.len());
    }

    fn advance_while(&mut self, accepted: impl Fn(u8) -> bool) -> &'a str {
        let start = self.position;
        let rest = self.rest();
        let length = rest.iter().position(|byte| !accepted(*byte));
        self.advance(length.unwrap_or(rest.len()));
        // Each `accepted` includes either all non-ASCII bytes or none of them, so the end is a
        // character boundary.
        self.text.get(start..self.position).unwrap_or_default()
    }

    /// Skips white space and comments; returns whether they contain a line break.
    fn skip_blank(&mut self) -> bool {
        let start = self.position;
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(byte), _) if is_space_byte(byte) => self.advance(1),
                (Some(b'-'), Some(b'-')) => self.skip_line_comment(),
                (Some(b'/'), Some(b'*')) => self.skip_block_comment(),
                _ => break,
            }
        }
        let blank = &self.text.as_bytes()[start..self.position];
        blank.iter().any(|byte| matches!(byte, b'\n' | b'\r'))
    }

    fn skip_line_comment(&mut self) {
        self.advance_while(|byte| !matches!(byte, b'\n' | b'\r'));
    }

    /// Skips a block comment, including nested comments.
    fn skip_block_comment(&mut self) {
        let mut depth = 0_usize;
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(b'/'), Some(b'*')) => {
                    depth += 1;
                    self.advance(2);
                }
                (Some(b'*'), Some(b'/')) => {
                    depth -= 1;
                    self.advance(2);
                    if depth == 0 {
                        return;
                    }
                }
                (Some(_), _) => self.advance(1),
                (None, _) => return,
            }
        }
    }

    /// Reads up to the closing quote. A doubled quote stands for the quote itself.
    fn read_quoted(&mut self, quote: u8, escapes: bool) -> Token<'a> {
        self.advance(1);
        let start = self.position;
        loop {
            match self.peek(0) {
                Some(b'\\') if escapes => self.advance(2),
                Some(byte) if byte == quote && self.peek(1) == Some(quote) => self.advance(2),
                Some(byte) if byte == quote => break,
                Some(_) => self.advance(1),
                None => break,
            }
        }
        let raw = self.text.get(start..self.position).unwrap_or_default();
        self.advance(1);
        let doubled = if quote == b'"' { "\"\"" } else { "''" };
        let text = if raw.contains(doubled) {
            Cow::Owned(raw.replace(doubled, &doubled[1..]))
        } else {
            Cow::Borrowed(raw)
        };
        if quote == b'"' {
            Token::Identifier(text)
        } else {
            Token::Text(text)
        }
    }

    /// Reads an escape string (`E'...'`) with its continuations on later lines, in which a
    /// backslash is an escape character, too.
    fn read_escape_string(&mut self) -> Token<'a> {
        loop {
            let token = self.read_quoted(b'\'', true);
            let end = self.position;
            let continues = self.skip_blank() && self.peek(0) == Some(b'\'');
            if !continues {
                self.position = end;
                return token;
            }
        }
    }

    fn read_word(&mut self) -> Token<'a> {
        let word = self.advance_while(is_word_byte);
        if word.eq_ignore_ascii_case("e") && self.peek(0) == Some(b'\'') {
            return self.read_escape_string();
        }
        Token::Word(word)
    }

    /// Reads a dollar-quoted string, or only the dollar sign of a parameter such as `$1`.
    fn read_dollar(&mut self) -> Token<'a> {
        let rest = &self.text[self.position..];
        let tag_length = rest[1..].bytes().position(|byte| !is_tag_byte(byte));
        let is_parameter = rest[1..].starts_with(|first: char| first.is_ascii_digit());
        let closed_tag_length = tag_length.filter(|length| rest.as_bytes()[1 + length] == b'$');
        let Some(length) = closed_tag_length.filter(|_| !is_parameter) else {
            self.advance(1);
            return Token::Other(b'$');
        };
        let delimiter = &rest[..length + 2];
        let body = &rest[delimiter.len()..];
        let end = body.find(delimiter).unwrap_or(body.len());
        self.advance(2 * delimiter.len() + end);
        Token::Text(Cow::Borrowed(&body[..end]))
    }
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        self.skip_blank();
        let first = self.peek(0)?;
        let token = match first {
            b'\'' | b'"' => self.read_quoted(first, false),
            b'$' => self.read_dollar(),
            byte if byte.is_ascii_digit() => {
                Token::Word(self.advance_while(|byte| byte.is_ascii_digit()))
            }
            byte if is_word_byte(byte) => self.read_word(),
            b';' => {
                self.advance(1);
                Token::Semicolon
            }
            byte => {
                self.advance(1);
                Token::Other(byte)
            }
        };
        Some(token)
    }
}

fn is_space_byte(byte: u8) -> bool {
    byte.is_ascii_whitespace() || byte == b'\x0b'
}

/// Returns whether a byte may be part of a dollar-quote tag. Non-ASCII bytes are letters.
fn is_tag_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || !byte.is_ascii()
}

fn is_word_byte(byte: u8) -> bool {
    is_tag_byte(byte) || byte == b'$'
}
