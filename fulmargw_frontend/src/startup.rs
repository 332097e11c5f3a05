//! Messages and decisions of the start-up of a caller connection, up to the first `ReadyForQuery`.

use crate::{
    error::Failure,
    response::Output,
    settings::Settings,
    variable::{Variable, Variables},
};
use bytes::{Buf, Bytes, BytesMut};
use fulmargw_backend::frame::{self, Frame};
use fulmargw_decision::access::{self, Grant};
use fulmargw_model::{
    configuration::{Configuration, Version},
    outcome::{Reason, Refusal},
};
use pgwire::messages::{
    DecodeContext, Message,
    cancel::CancelRequest,
    startup::{GssEncRequest, SslRequest, Startup},
};
use std::{collections::BTreeMap, io};
use tokio_util::codec::Decoder;

/// Maximum length of a message before the caller is authenticated, in bytes; the same as in
/// PostgreSQL.
pub const MAX_MESSAGE_BYTES: usize = 10_000;

/// Minimum length of a start-up message in bytes: the length field and the protocol version.
const MIN_MESSAGE_BYTES: usize = 8;

/// A message that a caller sends before the session, which has no type byte.
#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    /// Requests encryption.
    Encryption,
    /// Requests to cancel a statement of another connection.
    Cancel,
    /// Requests a session.
    Session(Parameters),
}

/// The parameters of a session.
#[derive(Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Minor protocol version that the caller requests.
    pub minor_version: u16,
    values: BTreeMap<String, String>,
}

impl Parameters {
    fn get(&self, name: &str) -> &str {
        self.values.get(name).map_or("", String::as_str)
    }

    /// Returns the name of the client account.
    #[must_use]
    pub fn account(&self) -> &str {
        self.get("user")
    }

    /// Returns the name of the route; by default it is the account's name.
    #[must_use]
    pub fn route(&self) -> &str {
        match self.get("database") {
            "" => self.account(),
            database => database,
        }
    }

    /// Returns the protocol extensions that the caller requests; none is supported.
    #[must_use]
    pub fn extensions(&self) -> Vec<String> {
        let names = self.values.keys();
        names
            .filter(|name| name.starts_with("_pq_."))
            .cloned()
            .collect()
    }

    /// Reads the `fulmar` session settings from `options` and from parameters with their names.
    ///
    /// # Errors
    ///
    /// If a value is malformed or the setting does not exist.
    pub fn variables(&self) -> Result<Variables, Failure> {
        let mut variables = Variables::default();
        for option in parse_options(self.get("options")) {
            assign_setting(&mut variables, &option.0, &option.1)?;
        }
        for (name, value) in &self.values {
            assign_setting(&mut variables, name, value)?;
        }
        Ok(variables)
    }
}

/// Changes a session setting; names without the prefix `fulmar.` are ignored.
fn assign_setting(variables: &mut Variables, name: &str, value: &str) -> Result<(), Failure> {
    let suffix = name
        .strip_prefix(Variable::PREFIX)
        .and_then(|rest| rest.strip_prefix('.'));
    let Some(suffix) = suffix else {
        return Ok(());
    };
    let variable = Variable::find(suffix).ok_or_else(|| Failure::unknown_setting(suffix))?;
    variables.set(variable, value)
}

/// Parses `-c name=value` and `--name=value`; a backslash escapes the next character.
fn parse_options(text: &str) -> Vec<(String, String)> {
    let mut settings = Vec::new();
    let mut value_expected = false;
    for word in split_words(text) {
        let setting = match word.strip_prefix("--").or(word.strip_prefix("-c")) {
            _ if value_expected => word.as_str(),
            Some("") => {
                value_expected = true;
                continue;
            }
            Some(setting) => setting,
            None => continue,
        };
        value_expected = false;
        if let Some((name, value)) = setting.split_once('=') {
            settings.push((name.to_owned(), value.to_owned()));
        }
    }
    settings
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        let word = words.last_mut().filter(|_| !character.is_whitespace());
        match (word, character) {
            (None, _) => words.push(String::new()),
            (Some(word), '\\') => word.extend(characters.next()),
            (Some(word), _) => word.push(character),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Decoder of the messages before the session, which have no type byte.
#[derive(Debug)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Request;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Request>> {
        let Ok(length) = (&buffer[..]).try_get_u32() else {
            return Ok(None);
        };
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if !(MIN_MESSAGE_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < length {
            return Ok(None);
        }
        decode_request(buffer.split_to(length)).map(Some)
    }
}

fn decode_request(mut message: BytesMut) -> io::Result<Request> {
    if SslRequest::is_ssl_request_packet(&message)
        || GssEncRequest::is_gss_enc_request_packet(&message)
    {
        return Ok(Request::Encryption);
    }
    if CancelRequest::is_cancel_request_packet(&message) {
        return Ok(Request::Cancel);
    }
    let startup = Startup::decode(&mut message, &DecodeContext::default());
    let startup = startup.map_err(|_| io::ErrorKind::InvalidData)?;
    let startup = startup.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Request::Session(Parameters {
        minor_version: startup.protocol_number_minor,
        values: startup.parameters,
    }))
}

/// Returns the key in a password message. It is not a string because a key need not be UTF-8.
#[must_use]
pub fn password(frame: &Frame) -> Option<Bytes> {
    let mut payload = frame.payload();
    let password = frame::split_string(&mut payload)?;
    (frame.tag == b'p').then_some(password)
}

/// Decides whether a caller may use its route. `Ok(None)` means that the route requires a key.
///
/// # Errors
///
/// If the caller is refused: it may not use the route, or its key is wrong.
pub fn authorize(
    configuration: &Configuration,
    parameters: &Parameters,
    key: Option<&[u8]>,
) -> Result<Option<Grant>, Failure> {
    if configuration.version == Version::default() {
        return Err(Failure::not_configured());
    }
    let (route, account) = (parameters.route(), parameters.account());
    match access::authorize(configuration, route, account, key) {
        Ok(grant) => Ok(Some(grant)),
        Err(Refusal {
            reason: Reason::Key,
            ..
        }) if key.is_none() => Ok(None),
        Err(refusal) => Err(Failure::refused(&refusal)),
    }
}

/// Reports the server parameters that client libraries expect at the start of a session.
pub fn report_parameters(output: &mut Output, settings: &Settings) {
    output.parameter_status("server_version", &settings.server_version);
    output.parameter_status("server_encoding", "UTF8");
    output.parameter_status("client_encoding", "UTF8");
    output.parameter_status("standard_conforming_strings", "on");
    output.parameter_status("DateStyle", "ISO, MDY");
    output.parameter_status("integer_datetimes", "on");
}
