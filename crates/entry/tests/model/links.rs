//! Links between processes: each process opens one to every owner that it reads from the claims.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;

use super::claiming::{address, process_at};
use super::network::{Link, Path, Place};
use super::process;
use super::world::{Event, World};

/// Time between two checks of all links in milliseconds.
const CHECK_PERIOD_MS: u64 = 50;

/// Upper bound of the time until an end notices that its link is silent, in milliseconds.
const SILENCE_NOTICED_MAX_MS: u64 = 4_000;

impl World {
    /// Opens links to the owners and closes those to others.
    pub(crate) fn dial_owners(&mut self, process: usize) {
        let owners = self.processes[process].claims.owners();
        let targets = owners.into_keys().map(process_at);
        let targets: BTreeSet<usize> = targets.filter(|target| *target != process).collect();
        let links = &mut self.network.links;
        for link in links.iter_mut().filter(|link| link.dialer == process) {
            link.ending |= !targets.contains(&link.target);
        }
        for target in targets {
            let exists =
                |link: &Link| link.dialer == process && link.target == target && !link.ending;
            if !links.iter().any(exists) {
                links.push(Link {
                    dialer: process,
                    target,
                    open: [false; 2],
                    was_open: false,
                    ending: false,
                    noticed_ms: None,
                });
            }
        }
    }

    /// Returns the owners whose link was open before and is closed now.
    pub(crate) fn unlinked_owners(&self, process: usize) -> BTreeSet<SocketAddr> {
        let links = self.network.links.iter();
        let unlinked =
            links.filter(|link| link.dialer == process && link.was_open && !link.open[0]);
        let unlinked = unlinked.filter(|link| !link.ending);
        unlinked.map(|link| address(link.target)).collect()
    }

    pub(crate) fn is_linked(&self, process: usize) -> bool {
        let mut links = self.network.links.iter();
        links.all(|link| link.dialer != process || link.ending || link.open[0])
    }

    /// Opens and closes links as their paths allow.
    pub(crate) fn update_links(&mut self) {
        for index in 0..self.network.links.len() {
            let [dialer, target] = self.network.links[index].ends();
            let path = (self.network).path(Place::Process(dialer), Place::Process(target));
            let is_ending = self.network.links[index].ending;
            match path {
                Path::Open if !is_ending => self.open_link(index),
                Path::Open | Path::Closed => {
                    self.close_end(index, 0);
                    self.close_end(index, 1);
                }
                Path::Held | Path::Silent => self.notice_silence(index),
            }
        }
        let links = &mut self.network.links;
        links.retain(|link| !link.ending || link.open != [false; 2]);
        self.after(CHECK_PERIOD_MS, Event::Links);
    }

    fn is_paused(&self, process: usize) -> bool {
        self.processes[process].paused_until_ms > self.now_ms
    }

    fn open_link(&mut self, index: usize) {
        let link = &mut self.network.links[index];
        link.noticed_ms = None;
        let ends = link.ends();
        let is_open = link.open == [true; 2];
        if is_open || ends.iter().any(|end| self.is_paused(*end)) {
            return;
        }
        for (side, end) in ends.into_iter().enumerate() {
            self.close_end(index, side);
            let peer = process::name(ends[1 - side]);
            self.processes[end].known.opened(&peer);
        }
        let link = &mut self.network.links[index];
        link.open = [true; 2];
        link.was_open = true;
        let now_ms = self.now_ms;
        self.history
            .note(|| format!("{now_ms}: link of {ends:?} opens"));
    }

    fn close_end(&mut self, index: usize, side: usize) {
        let link = &mut self.network.links[index];
        let ends = link.ends();
        let (end, peer) = (ends[side], process::name(ends[1 - side]));
        if !link.open[side] || self.is_paused(end) {
            return;
        }
        self.network.links[index].open[side] = false;
        let (real_ms, now_ms) = (self.now_ms, self.clock_ms(end));
        self.history
            .note(|| format!("{real_ms}: link of p{end} with {peer} closes"));
        self.processes[end].known.closed(&peer, now_ms);
        if side == 0 {
            self.notify_claims_changed(end);
        }
    }

    /// Closes the links of a process that ends. Their other ends notice it if their paths are open.
    pub(crate) fn close_links(&mut self, process: usize) {
        for index in 0..self.network.links.len() {
            let ends = self.network.links[index].ends();
            let Some(side) = ends.iter().position(|end| *end == process) else {
                continue;
            };
            let peer = Place::Process(ends[1 - side]);
            if self.network.path(Place::Process(process), peer) == Path::Open {
                self.close_end(index, 1 - side);
            }
            let link = &mut self.network.links[index];
            link.open[side] = false;
            link.ending |= side == 0;
        }
    }

    fn notice_silence(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let rng = &mut self.rng;
        let mut notice = || now_ms + rng.random_range(500..SILENCE_NOTICED_MAX_MS);
        let link = &mut self.network.links[index];
        let noticed_ms = *link.noticed_ms.get_or_insert_with(|| [notice(), notice()]);
        for (side, at_ms) in noticed_ms.into_iter().enumerate() {
            if now_ms >= at_ms {
                self.close_end(index, side);
            }
        }
    }
}
