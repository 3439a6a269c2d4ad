//! The replica state machine over a cluster in memory: what each replica answers, and how records move between them.

mod accounts;
mod backfill;
mod capacity;
mod cluster;
mod membership;
mod turns;
