//! An answer that is passed on as it comes.

use crate::body::Piece;
use crate::events::EventScan;
use crate::pool::{CallOut, Core, Line};
use crate::turn_under_way::Turn;
use crate::turns::TurnKeeping;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use micadrum::Outcome;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Carries an answer from the endpoint to the client.
pub(crate) struct Pump<T: TurnKeeping> {
    pub(crate) core: Rc<Core>,
    pub(crate) turns: Rc<T>,
    pub(crate) headers: HeaderMap,
    pub(crate) end: Instant,
    pub(crate) events: bool,
}

impl<T: TurnKeeping> Pump<T> {
    pub(crate) async fn run(
        self,
        body: Incoming,
        pieces: mpsc::Sender<Piece>,
        line: Line,
        call: CallOut,
        turn: Turn<T>,
    ) {
        let whole = self.carry(body, &pieces, line, call, turn).await;
        self.core.count(|figures| match whole {
            true => figures.streams_ended += 1,
            false => figures.streams_broken += 1,
        });
    }

    /// True if the client has been handed all, the end included.
    async fn carry(
        &self,
        mut body: Incoming,
        pieces: &mpsc::Sender<Piece>,
        line: Line,
        call: CallOut,
        mut turn: Turn<T>,
    ) -> bool {
        let mut scan = EventScan::new(turn.keeping.is_some());
        loop {
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => {
                    call.end(Outcome::Cancelled);
                    return false;
                }
                frame = timeout_at(self.end, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => {
                    call.end(Outcome::TimedOut);
                    return false;
                }
                Ok(Some(Err(_))) => {
                    call.end(Outcome::Reset);
                    return false;
                }
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if data.is_empty() {
                continue;
            }
            if self.events {
                scan.take(&data);
                if let Some(reservation) = &mut turn.reservation {
                    reservation.handed = scan.handed().saturating_mul(turn.tokens_per_event);
                }
            }
            match timeout_at(self.end, pieces.send(Piece::Data(data))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    call.end(Outcome::Cancelled);
                    return false;
                }
                Err(_) => {
                    call.end(Outcome::TimedOut);
                    return false;
                }
            }
        }
        drop(body);
        self.core.give_back(line, &self.headers);
        call.end(Outcome::Success);
        if let Some(mut kept) = turn.keeping.take() {
            if !scan.between_events() {
                return false;
            }
            kept.tokens = scan.handed().saturating_mul(turn.tokens_per_event);
            kept.output = scan.into_output().into();
            let keep = timeout_at(self.end, self.turns.keep(kept));
            let is_kept = tokio::select! {
                biased;
                kept = keep => kept.unwrap_or(false),
                () = pieces.closed() => return false,
            };
            if !is_kept {
                self.core.count(|figures| figures.turns_unkept += 1);
                return false;
            }
            turn.forget_reservation();
        }
        matches!(timeout_at(self.end, pieces.send(Piece::End)).await, Ok(Ok(())))
    }
}
