//! The operators' commands against processes with canned answers, and their parts.

mod canned_fleet;
mod reports;
mod views;
