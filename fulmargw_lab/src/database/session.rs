//! Client sessions in the PostgreSQL protocol.

use super::{
    error::Error,
    execute::{Executor, Reply},
    process::Server,
    sql::{self, Statement},
    wire,
};
use bytes::BytesMut;
use fulmargw_model::position::Term;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
    data::{NoData, ParameterDescription},
    extendedquery::{
        Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete,
        TARGET_TYPE_BYTE_STATEMENT,
    },
    response::{EmptyQueryResponse, SslResponse, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};
use std::{
    collections::HashMap,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, Interest},
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

/// Time that a connection above the limit waits for others to close before it counts as a
/// violation.
///
/// After a pause of the process or a network partition, the server sees at the same time the
/// connections that hosts have closed and those that replace them.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// Interval of checking the number of connections during [`CLOSE_GRACE_PERIOD`].
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts client connections.
pub async fn serve(server: Arc<Server>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            // An error ends only this connection, and the client sees it too.
            let _ = serve_connection(&server, stream).await;
        });
    }
}

/// Serves a connection and counts it while it is open.
async fn serve_connection(server: &Arc<Server>, stream: TcpStream) -> io::Result<()> {
    let Some(is_within_limit) = admit(server, &stream).await? else {
        return Ok(());
    };
    if !is_within_limit {
        server.exit_if_strict("too many connections");
    }
    let result = run_session(server, stream, is_within_limit).await;
    server.observation.lock().connections -= 1;
    result
}

/// Counts a new connection, and returns whether it is within the limit; `None` if the client has
/// closed it. A connection beyond the limit waits for [`CLOSE_GRACE_PERIOD`] until a closed one is
/// noticed.
async fn admit(server: &Server, stream: &TcpStream) -> io::Result<Option<bool>> {
    let limit = server.settings.max_connections;
    let deadline = Instant::now() + CLOSE_GRACE_PERIOD;
    loop {
        let readiness = stream
            .ready(Interest::READABLE | Interest::WRITABLE)
            .await?;
        if readiness.is_read_closed() {
            return Ok(None);
        }
        if server.observation.lock().admit(limit) {
            return Ok(Some(true));
        }
        if Instant::now() >= deadline {
            server.observation.lock().record_violation();
            return Ok(Some(false));
        }
        time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

async fn run_session(
    server: &Arc<Server>,
    stream: TcpStream,
    is_within_limit: bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut channel = Channel::new(Arc::clone(server), stream);
    let Some(startup) = channel.receive_startup().await? else {
        return Ok(());
    };
    if !is_within_limit {
        wire::put_error(&mut channel.output, &Error::too_many_connections())?;
        return channel.flush().await;
    }
    crate::timer::sleep(server.settings.connect_time).await;
    let term = connection_term(&startup);
    let check = server.state.lock().check_connect(term);
    if let Err(error) = check {
        wire::put_error(&mut channel.output, &error)?;
        return channel.flush().await;
    }
    channel.send_greeting().await?;
    let executor = Executor::new(Arc::clone(server), term);
    let mut session = Session {
        channel,
        executor,
        statements: HashMap::new(),
        portals: HashMap::new(),
        is_skipping_to_sync: false,
    };
    while let Some(message) = session.channel.receive().await? {
        if matches!(message, PgWireFrontendMessage::Terminate(_)) {
            break;
        }
        session.handle(message).await?;
    }
    Ok(())
}

/// Returns the term from `-c group.term=N` in the start-up options; 0 if it is absent.
fn connection_term(startup: &Startup) -> Term {
    let options = startup.parameters.get("options");
    let term = options.and_then(|options| options.split("group.term=").nth(1));
    let digits = term.map(|rest| rest.split_whitespace().next().unwrap_or_default());
    Term(digits.and_then(|digits| digits.parse().ok()).unwrap_or(0))
}

/// Decodes and encodes the messages of one connection.
struct Channel {
    server: Arc<Server>,
    /// Number of the connection, by order of acceptance.
    number: u64,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl Channel {
    fn new(server: Arc<Server>, stream: TcpStream) -> Self {
        let number = server.last_connection.fetch_add(1, Ordering::SeqCst) + 1;
        Self {
            server,
            number,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::default(),
        }
    }

    async fn receive(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(io::Error::other)?;
            if message.is_some() {
                return Ok(message);
            }
            self.flush().await?;
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Sends the pending output, or discards it if a fault stops the responses of this connection.
    async fn flush(&mut self) -> io::Result<()> {
        if self.number <= self.server.last_unresponsive.load(Ordering::SeqCst) {
            self.output.clear();
        }
        self.stream.write_all_buf(&mut self.output).await
    }

    fn put(&mut self, message: &PgWireBackendMessage) -> io::Result<()> {
        wire::put(&mut self.output, message)
    }

    async fn receive_startup(&mut self) -> io::Result<Option<Startup>> {
        while let Some(message) = self.receive().await? {
            match message {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.put(&PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    let mut observation = self.server.observation.lock();
                    observation.record_startup_texts(startup.parameters.values());
                    return Ok(Some(startup));
                }
                _ => return Ok(None),
            }
        }
        Ok(None)
    }

    async fn send_greeting(&mut self) -> io::Result<()> {
        self.put(&PgWireBackendMessage::Authentication(Authentication::Ok))?;
        let parameters = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.put(&PgWireBackendMessage::ParameterStatus(status))?;
        }
        let data = BackendKeyData::new(1, SecretKey::I32(1));
        self.put(&PgWireBackendMessage::BackendKeyData(data))?;
        wire::put_ready(&mut self.output, TransactionStatus::Idle)?;
        self.flush().await
    }
}

struct Portal {
    statement: Option<Statement>,
    parameters: Vec<String>,
    /// Format of the result columns: 0 for text, 1 for binary.
    format: i16,
}

struct Session {
    channel: Channel,
    executor: Executor,
    /// Prepared statements; `None` stands for an empty query.
    statements: HashMap<String, Option<Statement>>,
    portals: HashMap<String, Portal>,
    /// Whether messages are ignored until the next `Sync`.
    is_skipping_to_sync: bool,
}

impl Session {
    async fn handle(&mut self, message: PgWireFrontendMessage) -> io::Result<()> {
        if let PgWireFrontendMessage::Query(query) = &message {
            return self.simple_query(&query.query).await;
        }
        if let PgWireFrontendMessage::Sync(_) = message {
            return self.sync().await;
        }
        if let PgWireFrontendMessage::PasswordMessageFamily(_) = message {
            self.channel.server.observation.lock().passwords += 1;
            self.channel.server.exit_if_strict("a password arrived");
            return Ok(());
        }
        if self.is_skipping_to_sync {
            return Ok(());
        }
        let result = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(&parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe)?,
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute).await?,
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                Ok(Some(PgWireBackendMessage::CloseComplete(
                    CloseComplete::new(),
                )))
            }
            PgWireFrontendMessage::Flush(_) => {
                self.channel.flush().await?;
                Ok(None)
            }
            _ => Err(Error::syntax("unexpected message")),
        };
        match result {
            Ok(Some(response)) => self.channel.put(&response),
            Ok(None) => Ok(()),
            Err(error) => {
                self.is_skipping_to_sync = true;
                self.executor.mark_failed();
                wire::put_error(&mut self.channel.output, &error)
            }
        }
    }

    async fn simple_query(&mut self, query: &str) -> io::Result<()> {
        match sql::parse(query) {
            Ok(statements) if statements.is_empty() => {
                let empty = EmptyQueryResponse::new();
                self.channel
                    .put(&PgWireBackendMessage::EmptyQueryResponse(empty))?;
            }
            Ok(statements) => self.run_all(&statements).await?,
            Err(error) => {
                self.executor.mark_failed();
                wire::put_error(&mut self.channel.output, &error)?;
            }
        }
        self.send_ready().await
    }

    /// Runs the statements of a simple query up to the first error.
    async fn run_all(&mut self, statements: &[Statement]) -> io::Result<()> {
        for (number, statement) in statements.iter().enumerate() {
            let mut result = self.executor.run(statement, &[]).await;
            if number + 1 == statements.len() && result.is_ok() {
                // The last statement is complete only after the implicit commit.
                result = self.executor.commit_implicit().await.and(result);
            }
            match result {
                Ok(reply) => {
                    let columns = statement.columns();
                    if !columns.is_empty() {
                        wire::put_columns(&mut self.channel.output, columns, 0)?;
                    }
                    self.put_reply(reply)?;
                }
                Err(error) => return wire::put_error(&mut self.channel.output, &error),
            }
        }
        Ok(())
    }

    fn put_reply(&mut self, reply: Reply) -> io::Result<()> {
        for row in &reply.rows {
            wire::put_row(&mut self.channel.output, row)?;
        }
        wire::put_complete(&mut self.channel.output, reply.tag)
    }

    async fn send_ready(&mut self) -> io::Result<()> {
        let status = match self.executor.explicit_transaction() {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.is_failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        wire::put_ready(&mut self.channel.output, status)?;
        self.channel.flush().await
    }

    async fn sync(&mut self) -> io::Result<()> {
        self.is_skipping_to_sync = false;
        if let Err(error) = self.executor.commit_implicit().await {
            wire::put_error(&mut self.channel.output, &error)?;
        }
        self.send_ready().await
    }

    fn parse(&mut self, parse: &Parse) -> Response {
        let mut statements = sql::parse(&parse.query)?;
        if statements.len() > 1 {
            return Err(Error::syntax("only one statement can be prepared"));
        }
        let name = parse.name.clone().unwrap_or_default();
        self.statements.insert(name, statements.pop());
        Ok(Some(PgWireBackendMessage::ParseComplete(
            ParseComplete::new(),
        )))
    }

    fn bind(&mut self, bind: &Bind) -> Response {
        let name = bind.statement_name.clone().unwrap_or_default();
        let statement = self.statements.get(&name).cloned();
        let statement = statement.ok_or_else(|| Error::syntax("unknown statement"))?;
        let text = |value: &Option<bytes::Bytes>| {
            String::from_utf8_lossy(value.as_deref().unwrap_or_default()).into_owned()
        };
        let portal = Portal {
            statement,
            parameters: bind.parameters.iter().map(text).collect(),
            format: bind
                .result_column_format_codes
                .first()
                .copied()
                .unwrap_or(0),
        };
        let name = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(name, portal);
        Ok(Some(
            PgWireBackendMessage::BindComplete(BindComplete::new()),
        ))
    }

    fn describe(&mut self, describe: &Describe) -> io::Result<Response> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (statement, format) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let Some(statement) = self.statements.get(name) else {
                return Ok(Err(Error::syntax("unknown statement")));
            };
            let count = statement.as_ref().map_or(0, Statement::parameter_count);
            let types = ParameterDescription::new(vec![wire::TEXT_OID; count]);
            let message = PgWireBackendMessage::ParameterDescription(types);
            wire::put(&mut self.channel.output, &message)?;
            (statement, 0)
        } else {
            let Some(portal) = self.portals.get(name) else {
                return Ok(Err(Error::syntax("unknown portal")));
            };
            (&portal.statement, portal.format)
        };
        let columns = statement.as_ref().map_or(&[][..], Statement::columns);
        if columns.is_empty() {
            return Ok(Ok(Some(PgWireBackendMessage::NoData(NoData::new()))));
        }
        wire::put_columns(&mut self.channel.output, columns, format)?;
        Ok(Ok(None))
    }

    async fn execute(&mut self, execute: &Execute) -> io::Result<Response> {
        let name = execute.name.as_deref().unwrap_or_default();
        let Some(portal) = self.portals.get(name) else {
            return Ok(Err(Error::syntax("unknown portal")));
        };
        let Some(statement) = &portal.statement else {
            let empty = EmptyQueryResponse::new();
            return Ok(Ok(Some(PgWireBackendMessage::EmptyQueryResponse(empty))));
        };
        match self.executor.run(statement, &portal.parameters).await {
            Ok(reply) => self.put_reply(reply).map(|()| Ok(None)),
            Err(error) => Ok(Err(error)),
        }
    }
}

/// The message that responds to a request, `None` if nothing more is to be sent, or an error to
/// report.
type Response = Result<Option<PgWireBackendMessage>, Error>;
