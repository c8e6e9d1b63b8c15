//! Host of a shard's kernel.
//!
//! A kernel is a state machine of the core crate that decides and does no I/O. Its host passes it
//! events and carries out the actions that it returns.

use std::sync::Arc;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_core::view;

use crate::context::Context;
use crate::pool::Pool;
use crate::service::Service;
use crate::term::Term;
use crate::writer::Writer;

/// Host of the kernel of one owned shard and epoch. Clones share the kernel.
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

    /// Returns the queue of records to be written to the log.
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

    /// Passes the list of targets to the kernel if it changed.
    pub(crate) fn update_targets(&self, context: &Context) {
        match self {
            Self::Pool(pool) => pool.update_workers(context),
            Self::Service(service) => service.update_instances(context),
        }
    }

    /// Stops taking new work, ahead of a planned stop.
    pub(crate) fn drain(&self) {
        if let Self::Service(service) = self {
            service.drain();
        }
    }

    /// Returns whether no operation is in flight that the next owner couldn't finish.
    pub(crate) fn is_drained(&self) -> bool {
        match self {
            Self::Pool(_) => true,
            Self::Service(service) => service.is_drained(),
        }
    }

    /// Rejects all waiting requests, because this process can't act as the owner at the moment.
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
