//! Parts of the system over loopback: a proxy's process and what it is told, and a proxy's way to storage machines.

mod chains_and_budgets;
mod graceful_shutdown;
mod machines;
mod storage_cluster;
