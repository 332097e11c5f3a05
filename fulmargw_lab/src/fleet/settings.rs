//! Arguments and settings files of the processes of a fleet.

use super::layout::{Host, Layout, Options, Server};
use fulmargw_model::client_account::Digest;
use std::{fs, io, path::PathBuf};

/// Credential for the operator interfaces of a fleet.
pub const CREDENTIAL: &str = "lab-operator-credential";

/// The way in which a backend server of a fleet starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Together with the other servers of a new database group.
    Initial,
    /// After an earlier run, into a database group that may hold data.
    Restarted,
}

/// Returns the arguments of a backend server.
#[must_use]
pub fn server(options: &Options, layout: &Layout, server: &Server, start: Start) -> Vec<String> {
    let mut arguments = vec!["database".to_owned()];
    let mut option = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
    option("name", server.name.clone());
    option("listen", server.direct.to_string());
    option("replication-listen", server.replication.to_string());
    option("admin", server.admin.to_string());
    option("slots", options.slots.to_string());
    option("connections", options.max_connections.to_string());
    option("connect-ms", options.connect_time.as_millis().to_string());
    option(
        "statement-us",
        options.statement_time.as_micros().to_string(),
    );
    for peer in &layout.servers {
        if peer.name != server.name {
            option(
                "peer",
                format!("{}={}", peer.name, peer.replication_relayed),
            );
        }
    }
    if start == Start::Initial {
        let first = layout.servers.first().map(|first| &first.name);
        let is_first = first == Some(&server.name);
        let switch = if is_first {
            "--initial-primary"
        } else {
            "--initial"
        };
        arguments.push(switch.to_owned());
    }
    arguments
}

/// Returns the arguments of the platform.
#[must_use]
pub fn platform(layout: &Layout) -> Vec<String> {
    let (listen, admin) = (layout.platform, layout.platform_admin);
    split_arguments(&format!("platform --listen {listen} --admin {admin}"))
}

/// Returns the arguments of the relay.
#[must_use]
pub fn link(options: &Options, layout: &Layout) -> Vec<String> {
    let delay = options.network_delay.as_micros();
    let admin = layout.link_admin;
    let mut arguments = split_arguments(&format!("link --delay-us {delay} --admin {admin}"));
    for mapping in layout.mappings() {
        let value = format!("{}={}={}", mapping.name, mapping.listen, mapping.target);
        arguments.extend(["--map".to_owned(), value]);
    }
    arguments
}

fn split_arguments(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

/// Writes the settings file of a host and returns the host's arguments.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn host(options: &Options, layout: &Layout, host: &Host) -> io::Result<Vec<String>> {
    let file: PathBuf = options.directory.join(format!("{}.toml", host.name));
    fs::write(&file, toml(options, layout, host))?;
    let settings = file.display().to_string();
    Ok(vec!["serve".to_owned(), "--settings".to_owned(), settings])
}

fn toml(options: &Options, layout: &Layout, host: &Host) -> String {
    let Host {
        name,
        frontend,
        peer,
        document,
        operator,
    } = host;
    let source = peer.ip();
    let platform = layout.platform_relayed;
    let extra_settings = &options.extra_settings;
    let digest = Digest::of(CREDENTIAL.as_bytes());
    format!(
        r#"[host]
name = "{name}"
zone = "zone-{name}"
peer_address = "{peer}"
document_address = "{document}"
source_ip = "{source}"

[frontend]
address = "{frontend}"

[operator]
address = "{operator}"
credential_digest = "{digest}"

[platform]
addresses = ["{platform}"]
{extra_settings}"#
    )
}
