//! Parts of the system over loopback: a proxy's process and what it is told, and a proxy's way to storage machines.

mod machines;
mod shutdown;
mod storage;
mod turns;
