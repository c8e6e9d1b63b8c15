//! A kernel that this process hosts for a shard it owns.

use std::sync::Arc;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::view;

use crate::context::Context;
use crate::pool::Pool;
use crate::service::Service;
use crate::term::Term;
use crate::writer::Writer;

/// The kernel of one owned shard and epoch. Clones share the kernel.
#[derive(Clone)]
pub(crate) enum Host {
    Pool(Arc<Pool>),
    Service(Arc<Service>),
}

impl Host {
    pub(crate) fn term(&self) -> &Term {
        match self {
            Self::Pool(pool) => &pool.term,
            Self::Service(service) => &service.term,
        }
    }

    /// Returns the queue of records that wait for the log.
    pub(crate) fn writer(&self) -> &Writer {
        match self {
            Self::Pool(pool) => &pool.writer,
            Self::Service(service) => &service.writer,
        }
    }

    pub(crate) fn update_contract(&self, contract: &Arc<Contract>) {
        match self {
            Self::Pool(pool) => pool.handle(rosemaryworks_core::placement::Event::Contract(
                contract.clone(),
            )),
            Self::Service(service) => service.handle(rosemaryworks_core::routing::Event::Contract(
                contract.clone(),
            )),
        }
    }

    /// Hands over the list of targets if it changed.
    pub(crate) fn update_targets(&self, context: &Context) {
        match self {
            Self::Pool(pool) => pool.update_workers(context),
            Self::Service(service) => service.update_instances(context),
        }
    }

    /// Takes no new work before a planned stop.
    pub(crate) fn drain(&self) {
        if let Self::Service(service) = self {
            service.drain();
        }
    }

    /// Tells whether nothing is under way that the next owner couldn't finish.
    pub(crate) fn is_drained(&self) -> bool {
        match self {
            Self::Pool(_) => true,
            Self::Service(service) => service.is_drained(),
        }
    }

    /// Answers what waits: this process isn't the owner any more, at least for now.
    pub(crate) fn suspend(&self) {
        if let Self::Service(service) = self {
            service.suspend();
        }
    }

    /// Ends the epoch.
    pub(crate) fn end(&self) {
        self.term().end();
        self.suspend();
        match self {
            Self::Pool(pool) => pool.end(),
            Self::Service(service) => service.end(),
        }
    }

    pub(crate) fn targets(&self) -> Vec<view::Target> {
        match self {
            Self::Pool(pool) => pool.targets(),
            Self::Service(service) => service.targets(),
        }
    }
}
