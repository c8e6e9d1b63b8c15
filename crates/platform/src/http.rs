//! HTTP adapters to the platform.
