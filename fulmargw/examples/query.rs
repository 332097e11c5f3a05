//! A PostgreSQL client that runs one statement and prints its rows and the session position.
//!
//! Prints `row VALUE...` for each row and `position TEXT` at the end. If the host refuses the
//! statement, prints `refused SQLSTATE: MESSAGE (DETAIL)` to standard error, followed by a line
//! `hint: ...` if the host sends a hint, and exits with code 1.

use argh::FromArgs;
use std::{
    error::Error as _, future::poll_fn, net::SocketAddr, path::PathBuf, process::ExitCode,
    time::Duration,
};
use tokio::{sync::watch, task::JoinHandle};
use tokio_postgres::{
    Client, Config, Connection, Error, NoTls, SimpleQueryMessage, Socket, tls::NoTlsStream,
};

/// Name of the reported parameter that contains the session's position.
const POSITION: &str = "fulmar.position";

/// Timeout for opening the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs one statement through a fulmargw host.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address of the host, IP:port
    #[argh(option)]
    address: SocketAddr,
    /// route, presented as the database
    #[argh(option)]
    route: String,
    /// client account, presented as the user
    #[argh(option)]
    account: String,
    /// file with the key, presented as the password
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// session position to read at or after
    #[argh(option)]
    position: Option<String>,
    /// statement to run
    #[argh(positional)]
    statement: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", describe(&error, arguments.address));
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Error> {
    let (client, connection) = config(arguments).connect(NoTls).await?;
    let (position, task) = spawn_connection(connection);
    print_rows(&client, &arguments.statement).await?;
    println!("position {}", position.borrow().as_str());
    drop(client);
    // The task ends when the connection is closed. An error while closing does not matter.
    let _ = task.await;
    Ok(())
}

fn config(arguments: &Arguments) -> Config {
    let mut config = Config::new();
    config
        .host(arguments.address.ip().to_string())
        .port(arguments.address.port())
        .dbname(&arguments.route)
        .user(&arguments.account)
        .connect_timeout(CONNECT_TIMEOUT);
    if let Some(file) = &arguments.key_file {
        let key = std::fs::read_to_string(file).expect("the key file is readable");
        config.password(key.trim());
    }
    if let Some(position) = &arguments.position {
        config.options(format!("-c {POSITION}={position}"));
    }
    config
}

/// Runs a connection in a task and publishes each position that the host reports.
fn spawn_connection(
    mut connection: Connection<Socket, NoTlsStream>,
) -> (watch::Receiver<String>, JoinHandle<()>) {
    let (sender, receiver) = watch::channel(String::new());
    let task = tokio::spawn(async move {
        while let Some(Ok(_)) = poll_fn(|context| {
            let message = connection.poll_message(context);
            if let Some(position) = connection.parameter(POSITION) {
                sender.send_replace(position.to_owned());
            }
            message
        })
        .await
        {}
    });
    (receiver, task)
}

async fn print_rows(client: &Client, statement: &str) -> Result<(), Error> {
    for message in client.simple_query(statement).await? {
        if let SimpleQueryMessage::Row(row) = message {
            let values: Vec<&str> = (0..row.len())
                .map(|column| row.get(column).unwrap_or("NULL"))
                .collect();
            println!("row {}", values.join("\t"));
        }
    }
    Ok(())
}

fn describe(error: &Error, host: SocketAddr) -> String {
    let Some(database_error) = error.as_db_error() else {
        let cause = error.source().map(ToString::to_string);
        return format!("failed at {host}: {error}: {}", cause.unwrap_or_default());
    };
    let mut text = format!(
        "refused {}: {} ({})",
        database_error.code().code(),
        database_error.message(),
        database_error.detail().unwrap_or("no detail"),
    );
    if let Some(hint) = database_error.hint() {
        text.push_str("\nhint: ");
        text.push_str(hint);
    }
    text
}
