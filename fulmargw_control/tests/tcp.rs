//! Two agents that communicate over loopback connections, in real time.

mod fixture;

use fixture::{Cluster, MemoryStore, account, admit, put, wait_until_in_real_time};
use fulmargw_control::{agent::Agent, settings::Settings};
use fulmargw_model::{availability_zone::Zone, host::Host, name::Name};
use fulmargw_peer::client::{self, Connections};
use tokio::net::TcpListener;

async fn start(cluster: &Cluster, name: &str) -> Agent<MemoryStore, Connections> {
    let calls = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let documents = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let host = Host {
        name: Name::new(name),
        zone: Zone(Name::new("z1")),
        address: calls.local_addr().expect("bound"),
        document_address: documents.local_addr().expect("bound"),
    };
    let peers = Connections::new(&client::Settings::default()).expect("valid settings");
    let agent = Agent::start(Settings::default(), host, cluster.store(name), peers);
    agent.serve(calls, documents);
    agent
}

/// Guards against agents that work with the in-memory network of the other tests but not over TCP.
#[tokio::test]
async fn two_hosts_share_a_rate_over_tcp() {
    let cluster = Cluster::default();
    let agents = [start(&cluster, "a").await, start(&cluster, "b").await];
    for agent in &agents {
        wait_until_in_real_time("both have a share", || agent.share_divisor() == Some(2)).await;
    }

    let patch = put(0, "p1", account("shop", 100.0, 3.0, &[]));
    let accepted = agents[0].patch(patch).await.expect("the patch is valid");
    let mut admitted = 0;
    for _ in 0..20 {
        admitted += u32::from(admit(&agents[1], "shop").await);
    }
    agents[0].leave().await.expect("the store is up");

    assert_eq!(accepted.in_force.len(), 2);
    assert_eq!(admitted, 20);
    wait_until_in_real_time("the share is freed", || {
        agents[1].share_divisor() == Some(1)
    })
    .await;
}
