//! Two agents over loopback connections and in real time.

mod fixture;

use fixture::{Disk, World, account, admit, put, until_real};
use fulmargw_control::{agent::Agent, settings::Settings};
use fulmargw_model::{availability_zone::Zone, host::Host, name::Name};
use fulmargw_peer::client::{self, Connections};
use tokio::net::TcpListener;

async fn start(world: &World, name: &str) -> Agent<Disk, Connections> {
    let calls = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let documents = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let host = Host {
        name: Name::new(name),
        zone: Zone(Name::new("z1")),
        address: calls.local_addr().expect("bound"),
        document_address: documents.local_addr().expect("bound"),
    };
    let peers = Connections::new(&client::Settings::default()).expect("valid settings");
    let agent = Agent::start(Settings::default(), host, world.disk(name), peers);
    agent.serve(calls, documents);
    agent
}

/// Guards against parts that only work together with the in-memory network.
#[tokio::test]
async fn two_hosts_share_a_rate_over_tcp() {
    let world = World::default();
    let nodes = [start(&world, "a").await, start(&world, "b").await];
    for node in &nodes {
        until_real("both have a share", || node.share_divisor() == Some(2)).await;
    }

    let patch = put(0, "p1", account("shop", 100.0, 3.0, &[]));
    let accepted = nodes[0].patch(patch).await.expect("the patch is valid");
    let mut admitted = 0;
    for _ in 0..20 {
        admitted += u32::from(admit(&nodes[1], "shop").await);
    }
    nodes[0].leave().await.expect("the store is up");

    assert_eq!(accepted.in_force.len(), 2);
    assert_eq!(admitted, 20);
    until_real("the share returns", || nodes[1].share_divisor() == Some(1)).await;
}
