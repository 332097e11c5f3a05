//! Collection of extended-protocol messages up to a `Sync`, and what they ask for.

use {
    crate::{
        error::Failure,
        prepared::{Prepared, Store},
        settings::Settings,
        statement::{self, Kind},
    },
    bytes::{Bytes, BytesMut},
    fulmargw_backend::{
        batch::Batch,
        frame::{self, Frame},
    },
    fulmargw_model::request::Part,
    pgwire::messages::extendedquery::{Close, TARGET_TYPE_BYTE_STATEMENT},
    std::collections::{HashMap, HashSet},
};

/// Messages of one batch. Short messages take more memory than their length once they are
/// recognised, so their number has a limit of its own.
const MAXIMUM_OPERATIONS: usize = 10_000;

/// One extended-protocol message of a caller.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Prepares a statement.
    Parse {
        /// Name of the statement.
        name: Bytes,
        /// The statement.
        prepared: Prepared,
    },
    /// Makes a portal from a statement.
    Bind {
        /// Name of the portal.
        portal: Bytes,
        /// Name of the statement.
        statement: Bytes,
    },
    /// Describes a statement.
    DescribeStatement(Bytes),
    /// Describes a portal.
    DescribePortal(Bytes),
    /// Runs a portal.
    Execute(Bytes),
    /// Closes a statement.
    CloseStatement(Bytes),
    /// Closes a portal.
    ClosePortal(Bytes),
}

impl Operation {
    /// Reads a message; `Ok(None)` is a message of another protocol part.
    ///
    /// # Errors
    ///
    /// If the message is malformed or its statement is not supported.
    pub fn read(frame: &Frame) -> Result<Option<Self>, Failure> {
        let mut payload = frame.payload();
        let malformed = || Failure::protocol("message is cut short");
        let name = |payload: &mut Bytes| {
            let name = frame::split_string(payload).ok_or_else(malformed)?;
            std::str::from_utf8(&name).map_err(|_| Failure::encoding())?;
            Ok(name)
        };
        let operation = match frame.tag {
            b'P' => {
                let name = name(&mut payload)?;
                let text = frame::split_string(&mut payload).ok_or_else(malformed)?;
                let text = std::str::from_utf8(&text).map_err(|_| Failure::encoding())?;
                let prepared = Prepared {
                    parse: frame.bytes.clone(),
                    kind: statement::recognise(text)?,
                };
                Self::Parse { name, prepared }
            }
            b'B' => Self::Bind {
                portal: name(&mut payload)?,
                statement: name(&mut payload)?,
            },
            b'E' => Self::Execute(name(&mut payload)?),
            b'D' | b'C' => {
                let target = payload.split_to(payload.len().min(1));
                let name = name(&mut payload)?;
                match (frame.tag, &target[..]) {
                    (b'D', b"S") => Self::DescribeStatement(name),
                    (b'D', b"P") => Self::DescribePortal(name),
                    (_, b"S") => Self::CloseStatement(name),
                    (_, b"P") => Self::ClosePortal(name),
                    _ => return Err(Failure::protocol("unknown target of a message")),
                }
            }
            _ => return Ok(None),
        };
        Ok(Some(operation))
    }
}

/// Collects the messages of a batch.
#[derive(Debug, Default)]
pub struct Collector {
    messages: BytesMut,
    operations: Vec<Operation>,
}

impl Collector {
    /// Reports whether no message was collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Adds a message.
    ///
    /// # Errors
    ///
    /// If the batch becomes too large.
    pub fn add(
        &mut self,
        frame: &Frame,
        operation: Operation,
        settings: &Settings,
    ) -> Result<(), Failure> {
        let limit = settings.maximum_frame_bytes;
        if self.messages.len() + frame.bytes.len() > limit {
            return Err(Failure::limit("bytes before a Sync", limit));
        }
        if self.operations.len() >= MAXIMUM_OPERATIONS {
            return Err(Failure::limit("messages before a Sync", MAXIMUM_OPERATIONS));
        }
        self.messages.extend_from_slice(&frame.bytes);
        self.operations.push(operation);
        Ok(())
    }

    /// Takes the batch at its `Sync`.
    pub fn take(&mut self, sync: &Frame) -> Collected {
        self.messages.extend_from_slice(&sync.bytes);
        Collected {
            messages: self.messages.split().freeze(),
            operations: std::mem::take(&mut self.operations),
        }
    }

    /// Drops the batch after an error in it.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The messages of a batch with its `Sync`.
#[derive(Debug)]
pub struct Collected {
    messages: Bytes,
    /// The messages in order, without the `Sync`.
    pub operations: Vec<Operation>,
}

/// What a batch asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Plan {
    /// The front end answers every statement.
    Local,
    /// The backend server runs the statements.
    Remote {
        /// Part of a transaction.
        part: Part,
        /// Whether a statement is executed, and not only prepared or described.
        executes: bool,
    },
}

impl Collected {
    /// Makes the body for the backend server: the statements that the batch takes from the
    /// session are replayed in front of it.
    ///
    /// A name that the session does not have is closed, because another session may have left
    /// a statement of that name on the connection.
    #[must_use]
    pub fn batch(&self, store: &Store) -> Batch {
        let mut replay = BytesMut::new();
        let mut replayed = 0;
        let mut seen = HashSet::new();
        for operation in &self.operations {
            let (name, creates) = match operation {
                Operation::Parse { name, .. } => (name, true),
                Operation::Bind {
                    statement: name, ..
                }
                | Operation::DescribeStatement(name)
                | Operation::CloseStatement(name) => (name, false),
                _ => continue,
            };
            // A new unnamed statement replaces an old one without an error.
            if !seen.insert(name.clone()) || (creates && name.is_empty()) {
                continue;
            }
            append_close(&mut replay, name);
            replayed += 1;
            if let Some(prepared) = store.get(name) {
                replay.extend_from_slice(&prepared.parse);
                replayed += 1;
            }
        }
        Batch {
            messages: join(replay, self.messages.clone()),
            replayed,
        }
    }

    /// Reports whether a message prepares or closes something.
    #[must_use]
    pub fn changes_names(&self) -> bool {
        self.operations.iter().any(|operation| {
            matches!(
                operation,
                Operation::Parse { .. } | Operation::CloseStatement(_) | Operation::ClosePortal(_)
            )
        })
    }

    /// Counts the named statements and their bytes that the batch adds to a store.
    #[must_use]
    pub fn growth(&self) -> (usize, usize) {
        let parsed = self
            .operations
            .iter()
            .filter_map(|operation| match operation {
                Operation::Parse { name, prepared } if !name.is_empty() => {
                    Some(prepared.parse.len())
                }
                _ => None,
            });
        parsed.fold((0, 0), |(count, bytes), length| (count + 1, bytes + length))
    }

    /// Decides what the batch asks for. `is_local` tells which statements the front end
    /// answers in the present state of the session.
    ///
    /// # Errors
    ///
    /// If the batch mixes statements in a way that is not supported.
    pub fn plan(&self, store: &Store, is_local: impl Fn(&Kind) -> bool) -> Result<Plan, Failure> {
        let mut summary = Summary::default();
        let mut scope = Scope::new(store);
        for operation in &self.operations {
            let kind = scope.follow(operation);
            summary.add(operation, kind, &is_local)?;
        }
        summary.plan()
    }
}

fn append_close(replay: &mut BytesMut, name: &Bytes) {
    // Names were checked to be UTF-8, so none of them changes here.
    let name = String::from_utf8_lossy(name).into_owned();
    let close = Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name));
    if let Err(error) = frame::append(replay, &close) {
        log::error!("close message cannot be encoded: {error}");
    }
}

fn join(mut replay: BytesMut, messages: Bytes) -> Bytes {
    if replay.is_empty() {
        return messages;
    }
    replay.extend_from_slice(&messages);
    replay.freeze()
}

/// The statements and portals that the messages of a batch refer to, as they change.
#[derive(Debug)]
pub struct Scope<'a> {
    store: &'a Store,
    statements: HashMap<Bytes, Option<Kind>>,
    portals: HashMap<Bytes, Kind>,
}

impl<'a> Scope<'a> {
    /// Starts with the statements of the session.
    #[must_use]
    pub fn new(store: &'a Store) -> Self {
        Self {
            store,
            statements: HashMap::new(),
            portals: HashMap::new(),
        }
    }

    fn statement(&self, name: &Bytes) -> Option<Kind> {
        match self.statements.get(name) {
            Some(kind) => kind.clone(),
            None => self.store.get(name).map(|prepared| prepared.kind.clone()),
        }
    }

    /// Follows one message and returns the kind of the statement that it refers to, if it
    /// exists.
    pub fn follow(&mut self, operation: &Operation) -> Option<Kind> {
        match operation {
            Operation::Parse { name, prepared } => {
                let kind = Some(prepared.kind.clone());
                self.statements.insert(name.clone(), kind.clone());
                kind
            }
            Operation::Bind { portal, statement } => {
                let kind = self.statement(statement)?;
                self.portals.insert(portal.clone(), kind.clone());
                Some(kind)
            }
            Operation::DescribeStatement(name) => self.statement(name),
            Operation::DescribePortal(name) | Operation::Execute(name) => {
                self.portals.get(name).cloned()
            }
            Operation::CloseStatement(name) => {
                self.statements.insert(name.clone(), None);
                None
            }
            Operation::ClosePortal(name) => {
                self.portals.remove(name);
                None
            }
        }
    }
}

/// What the messages of a batch have in common.
#[derive(Debug, Default)]
struct Summary {
    /// Messages about statements that the backend server runs.
    remote: usize,
    /// Messages about statements that the front end answers.
    local: usize,
    /// Executions by the backend server.
    executed: usize,
    /// Portals that control a transaction and are not executed yet.
    bound: HashSet<Bytes>,
    begins: bool,
    ends: bool,
}

impl Summary {
    fn add(
        &mut self,
        operation: &Operation,
        kind: Option<Kind>,
        is_local: impl Fn(&Kind) -> bool,
    ) -> Result<(), Failure> {
        if matches!(
            operation,
            Operation::CloseStatement(_) | Operation::ClosePortal(_)
        ) {
            return Ok(());
        }
        let kind = kind.unwrap_or(Kind::Other);
        if is_local(&kind) {
            self.local += 1;
            return Ok(());
        }
        self.remote += 1;
        match operation {
            Operation::Bind { portal, .. } if is_control(&kind) => {
                self.bound.insert(portal.clone());
            }
            Operation::Execute(portal) => {
                self.bound.remove(portal);
                self.execute(&kind)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn execute(&mut self, kind: &Kind) -> Result<(), Failure> {
        if self.ends || (*kind == Kind::Begin && self.executed > 0) {
            let what = "a batch in which a transaction begins after or ends before a statement";
            return Err(Failure::unsupported(what));
        }
        self.executed += 1;
        self.begins |= *kind == Kind::Begin;
        self.ends |= kind.is_end();
        Ok(())
    }

    fn plan(self) -> Result<Plan, Failure> {
        let unsupported = |what| Err(Failure::unsupported(what));
        if self.remote > 0 && self.local > 0 {
            return unsupported("a batch that mixes statements of fulmargw with others");
        }
        if !self.bound.is_empty() {
            return unsupported("transaction control that is bound and not executed in a batch");
        }
        let part = match (self.begins, self.ends) {
            (false, false) => Part::Statement,
            (true, false) => Part::Begin,
            (false, true) => Part::End,
            (true, true) => return unsupported("a batch that begins and ends a transaction"),
        };
        if self.remote == 0 {
            return Ok(Plan::Local);
        }
        Ok(Plan::Remote {
            part,
            executes: self.executed > 0,
        })
    }
}

fn is_control(kind: &Kind) -> bool {
    *kind == Kind::Begin || kind.is_end()
}
