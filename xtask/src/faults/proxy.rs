//! TCP proxies between the processes that can block each direction of a connection.

use std::collections::HashMap;
use std::net::SocketAddr;

use rosemaryworks_soak::proxy::{Flow, serve};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Flow control of one proxy, one sender for each direction.
#[derive(Debug)]
struct Link {
    backward: watch::Sender<Flow>,
    forward: watch::Sender<Flow>,
}

/// Proxies by the names of the dialing and the dialed process.
#[derive(Debug, Default)]
pub(crate) struct Proxies(HashMap<(String, String), Link>);

fn flow(cut: bool) -> Flow {
    match cut {
        true => Flow::Hold,
        false => Flow::Pass,
    }
}

impl Proxies {
    /// Starts a proxy at `listen`, which `from` dials to reach `to` at `address`.
    pub(crate) async fn add(
        &mut self,
        from: &str,
        to: &str,
        listen: SocketAddr,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let (forward, backward) = (
            watch::Sender::new(Flow::Pass),
            watch::Sender::new(Flow::Pass),
        );
        let flows = (forward.subscribe(), backward.subscribe());
        tokio::spawn(serve(listener, address, flows.0, flows.1));
        let link = Link { backward, forward };
        self.0.insert((from.to_owned(), to.to_owned()), link);
        Ok(())
    }

    /// Blocks or restores the bytes from `from` to `to`, on connections dialed by either of them.
    pub(crate) fn set_cut(&self, from: &str, to: &str, cut: bool) {
        if let Some(link) = self.0.get(&(from.to_owned(), to.to_owned())) {
            link.forward.send_replace(flow(cut));
        }
        if let Some(link) = self.0.get(&(to.to_owned(), from.to_owned())) {
            link.backward.send_replace(flow(cut));
        }
    }

    /// Blocks or restores both directions.
    pub(crate) fn set_cut_both(&self, one: &str, other: &str, cut: bool) {
        self.set_cut(one, other, cut);
        self.set_cut(other, one, cut);
    }

    /// Restores all connections.
    pub(crate) fn restore_all(&self) {
        for link in self.0.values() {
            link.forward.send_replace(Flow::Pass);
            link.backward.send_replace(Flow::Pass);
        }
    }
}
