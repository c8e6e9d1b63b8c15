//! Allocation of loopback ports to the processes of a deployment.

/// Ports of all processes, as offsets from a base port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ports {
    base: u16,
}

impl Ports {
    pub(crate) const fn new(base: u16) -> Self {
        Self { base }
    }

    /// Port of the platform's log.
    pub(crate) const fn log(&self) -> u16 {
        self.base
    }

    /// Port of the stand-in's fault injection API.
    pub(crate) const fn control(&self) -> u16 {
        self.base + 1
    }

    /// Port of the directory, the platform's list of VMs.
    pub(crate) const fn directory(&self) -> u16 {
        self.base + 2
    }

    /// Port of the request API of gateway `index`.
    pub(crate) const fn gateway(&self, index: usize) -> u16 {
        self.base + 10 + index as u16
    }

    /// Port of the administration API of gateway `index`.
    pub(crate) const fn gateway_admin(&self, index: usize) -> u16 {
        self.base + 20 + index as u16
    }

    /// Port at which scheduler `index` accepts links.
    pub(crate) const fn scheduler_peer(&self, index: usize) -> u16 {
        self.base + 30 + index as u16
    }

    /// Port of the metrics and readiness of scheduler `index`.
    pub(crate) const fn scheduler_status(&self, index: usize) -> u16 {
        self.base + 40 + index as u16
    }

    /// First port of the workers; the ports of the service instances follow.
    pub(crate) const fn workers(&self) -> u16 {
        self.base + 100
    }
}
