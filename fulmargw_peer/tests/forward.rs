//! Calls to the executor of a peer over loopback connections.

use fulmargw_model::{
    abort,
    execution::{Code, NotRun, Request},
    name::Name,
    position::{Position, Term},
};
use fulmargw_peer::{
    codec,
    forward::{
        self, BarrierReport, Client, Executor, Handler, Outcome, Sample, Transaction, TransactionId,
    },
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(2);
/// Greatest token of a barrier that the recorder accepts.
const LAST_TOKEN: u64 = 10;
const REPORT: BarrierReport = BarrierReport {
    acknowledged: Some(Position {
        term: Term(2),
        index: 17,
    }),
    is_settled: false,
};

/// A call of a peer about the barrier of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Raise(Name, u64, Duration),
    Lift(Name, u64),
}

/// Records the calls and runs no statements.
#[derive(Debug, Clone, Default)]
struct Recorder(Arc<Mutex<Vec<Call>>>);

impl Recorder {
    fn record(&self, call: Call) {
        self.0.lock().expect("not poisoned").push(call);
    }

    fn calls(&self) -> Vec<Call> {
        self.0.lock().expect("not poisoned").clone()
    }
}

impl Handler for Recorder {
    type Executor = Self;

    fn executor(&self) -> Self {
        self.clone()
    }
}

impl Executor for Recorder {
    async fn run(&self, _: Request, _: Option<TransactionId>) -> Outcome {
        Outcome::NotRun(NotRun {
            server: None,
            code: Code::Busy,
            retry_after: None,
        })
    }

    fn roll_back(&self, _: TransactionId) {}

    async fn reaches(&self, _: Name, _: Name) -> bool {
        false
    }

    fn acknowledged_position(&self, _: Name) -> Option<Position> {
        None
    }

    fn sample(&self, _: Name) -> Option<Sample> {
        None
    }

    async fn raise_barrier(
        &self,
        service: Name,
        token: u64,
        period: Duration,
    ) -> Option<BarrierReport> {
        self.record(Call::Raise(service, token, period));
        (token <= LAST_TOKEN).then_some(REPORT)
    }

    fn lift_barrier(&self, service: Name, token: u64) {
        self.record(Call::Lift(service, token));
    }

    fn has_open_transactions(&self) -> bool {
        false
    }

    fn close(&self) {}
}

/// Serves a recorder on a free port.
async fn serve() -> (Recorder, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let recorder = Recorder::default();
    let listener = codec::bounded_by_default(listener);
    let served = forward::serve(listener, recorder.clone(), CancellationToken::new());
    tokio::spawn(served);
    (recorder, address)
}

/// Guards against a barrier that is not raised as asked for, and against a report or refusal that the
/// other side cannot decode.
#[tokio::test]
async fn a_barrier_is_raised_and_lifted_on_a_peer() {
    let (recorder, address) = serve().await;
    let client = Client::new();
    let service = Name::new("ledger");
    let period = Duration::from_secs(4);

    let raised = client.raise_barrier(address, service.clone(), LAST_TOKEN, period, LIMIT);
    let raised = raised.await;
    let refused = client.raise_barrier(address, service.clone(), LAST_TOKEN + 1, period, LIMIT);
    let refused = refused.await;
    let lifted = client.lift_barrier(address, service.clone(), LAST_TOKEN, LIMIT);
    let lifted = lifted.await;

    assert_eq!(raised, Ok(Some(REPORT)));
    assert_eq!(refused, Ok(None));
    assert_eq!(lifted, Ok(()));
    let expected = [
        Call::Raise(service.clone(), LAST_TOKEN, period),
        Call::Raise(service.clone(), LAST_TOKEN + 1, period),
        Call::Lift(service, LAST_TOKEN),
    ];
    assert_eq!(recorder.calls(), expected);
}

/// Guards against a peer that stops the writes of a service for as long as it likes.
#[tokio::test]
async fn the_period_of_a_barrier_is_bounded() {
    let (recorder, address) = serve().await;
    let client = Client::new();
    let service = Name::new("ledger");

    let raised = client.raise_barrier(address, service.clone(), 1, Duration::MAX, LIMIT);
    let raised = raised.await;

    assert_eq!(raised, Ok(Some(REPORT)));
    let expected = [Call::Raise(service, 1, Duration::from_secs(10))];
    assert_eq!(recorder.calls(), expected);
}

/// Guards against a host that takes a transaction which a peer rolled back for one that has ended, and
/// against hosts of an earlier version that cannot decode the numbers of open transactions.
#[test]
fn what_became_of_a_transaction_is_decoded_as_it_was_encoded() {
    let causes = [
        abort::Cause::Stopping,
        abort::Cause::ZoneEvacuated,
        abort::Cause::KeyWithdrawn,
        abort::Cause::Idle,
        abort::Cause::Disconnected,
    ];
    let rolled_back = causes.map(Transaction::RolledBack);
    let all = [Transaction::Open(7), Transaction::Ended];

    for transaction in all.into_iter().chain(rolled_back) {
        let bytes = rmp_serde::to_vec(&transaction).expect("encodable");
        let decoded: Transaction = rmp_serde::from_slice(&bytes).expect("decodable");
        assert_eq!(decoded, transaction);
    }

    let encode = |transaction: &Transaction| rmp_serde::to_vec(transaction).expect("encodable");
    let earlier = |number: Option<u64>| rmp_serde::to_vec(&number).expect("encodable");
    assert_eq!(encode(&Transaction::Open(7)), earlier(Some(7)));
    assert_eq!(encode(&Transaction::Ended), earlier(None));
}
