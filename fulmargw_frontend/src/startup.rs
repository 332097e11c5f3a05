//! The start-up of a caller connection, up to the first `ReadyForQuery`.

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

/// Greatest length of a message before the caller is accepted, in bytes; the same as in
/// PostgreSQL.
pub const MAXIMUM_BYTES: usize = 10_000;

/// Length of the shortest start-up message: its length and the protocol version, in bytes.
const MINIMUM_BYTES: usize = 8;

/// A first message of a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Hello {
    /// Asks for encryption.
    Encryption,
    /// Asks to cancel a request of another connection.
    Cancel,
    /// Starts a session.
    Session(Parameters),
}

/// The parameters of a session.
#[derive(Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Minor version of the protocol that the caller asks for.
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

    /// Returns the name of the route, which is the account's name by default.
    #[must_use]
    pub fn route(&self) -> &str {
        match self.get("database") {
            "" => self.account(),
            database => database,
        }
    }

    /// Returns the protocol extensions that the caller asks for; none is supported.
    #[must_use]
    pub fn extensions(&self) -> Vec<String> {
        let names = self.values.keys();
        names
            .filter(|name| name.starts_with("_pq_."))
            .cloned()
            .collect()
    }

    /// Reads the session settings from `options` and from parameters of the same names.
    ///
    /// # Errors
    ///
    /// If a value is malformed or the setting does not exist.
    pub fn variables(&self) -> Result<Variables, Failure> {
        let mut variables = Variables::default();
        for option in options(self.get("options")) {
            assign(&mut variables, &option.0, &option.1)?;
        }
        for (name, value) in &self.values {
            assign(&mut variables, name, value)?;
        }
        Ok(variables)
    }
}

/// Changes a setting; names without the prefix of fulmargw are ignored.
fn assign(variables: &mut Variables, name: &str, value: &str) -> Result<(), Failure> {
    let own = name
        .strip_prefix(Variable::PREFIX)
        .and_then(|rest| rest.strip_prefix('.'));
    let Some(own) = own else {
        return Ok(());
    };
    let variable = Variable::find(own).ok_or_else(|| Failure::unknown_setting(own))?;
    variables.set(variable, value)
}

/// Splits `-c name=value` and `--name=value`, in which a backslash keeps the next character.
fn options(text: &str) -> Vec<(String, String)> {
    let mut settings = Vec::new();
    let mut expected = false;
    for word in words(text) {
        let setting = match word.strip_prefix("--").or(word.strip_prefix("-c")) {
            _ if expected => word.as_str(),
            Some("") => {
                expected = true;
                continue;
            }
            Some(setting) => setting,
            None => continue,
        };
        expected = false;
        if let Some((name, value)) = setting.split_once('=') {
            settings.push((name.to_owned(), value.to_owned()));
        }
    }
    settings
}

fn words(text: &str) -> Vec<String> {
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

/// Splits off the first messages of a caller, which carry no type.
#[derive(Debug)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Hello;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Hello>> {
        let Ok(length) = (&buffer[..]).try_get_u32() else {
            return Ok(None);
        };
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if !(MINIMUM_BYTES..=MAXIMUM_BYTES).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < length {
            return Ok(None);
        }
        hello(buffer.split_to(length)).map(Some)
    }
}

fn hello(mut message: BytesMut) -> io::Result<Hello> {
    if SslRequest::is_ssl_request_packet(&message)
        || GssEncRequest::is_gss_enc_request_packet(&message)
    {
        return Ok(Hello::Encryption);
    }
    if CancelRequest::is_cancel_request_packet(&message) {
        return Ok(Hello::Cancel);
    }
    let startup = Startup::decode(&mut message, &DecodeContext::default());
    let startup = startup.map_err(|_| io::ErrorKind::InvalidData)?;
    let startup = startup.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Hello::Session(Parameters {
        minor_version: startup.protocol_number_minor,
        values: startup.parameters,
    }))
}

/// Reads the key from a password message, as bytes: a key need not be UTF-8.
#[must_use]
pub fn password(frame: &Frame) -> Option<Bytes> {
    let mut payload = frame.payload();
    let password = frame::split_string(&mut payload)?;
    (frame.tag == b'p').then_some(password)
}

/// Decides whether a caller may use its route. `Ok(None)` asks for the key.
///
/// # Errors
///
/// If the caller is refused whatever key it has.
pub fn authorize(
    configuration: &Configuration,
    parameters: &Parameters,
    key: Option<&[u8]>,
) -> Result<Option<Grant>, Failure> {
    if configuration.version == Version::default() {
        return Err(Failure::starting());
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

/// Reports the parameters that clients expect after the start-up.
pub fn report(output: &mut Output, settings: &Settings) {
    output.parameter("server_version", &settings.server_version);
    output.parameter("server_encoding", "UTF8");
    output.parameter("client_encoding", "UTF8");
    output.parameter("standard_conforming_strings", "on");
    output.parameter("DateStyle", "ISO, MDY");
    output.parameter("integer_datetimes", "on");
}
