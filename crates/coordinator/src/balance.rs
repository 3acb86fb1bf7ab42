//! Which keys move to which target, so that no target has much more to do than others.

use std::collections::BTreeMap;

use crate::{
    Incarnation, Key, KeyRange, Slice,
    demand::{KeyLoad, within},
};

/// Least gain of a move, in utilisation of the busier one of the two targets.
const LEAST_GAIN: f64 = 0.08;

/// Least gain of a move as a part of the utilisation of the busier target.
const LEAST_PART: f64 = 0.12;

/// Moves of one round.
const MOVES: usize = 6;

/// How much faster a target must be to take a key that one target cannot serve.
const FASTER: f64 = 1.2;

/// Load of one key that nobody has asked for yet, so that ranges without requests are divided
/// evenly too.
const IDLE_LOAD: f64 = 1e-7;

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub incarnation: Incarnation,
    /// Requests that a target of speed 1 with as much room would run at once.
    pub capacity: f64,
}

/// Keys and their new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// The new owner.
    pub to: Incarnation,
}

/// A slice that may be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRange {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Incarnation,
    /// Whether the keys can be moved now.
    pub movable: bool,
}

impl From<&Slice> for OwnedRange {
    fn from(slice: &Slice) -> Self {
        Self {
            range: slice.range,
            owner: slice.owner.clone(),
            movable: true,
        }
    }
}

/// The owners of keys, as a plan changes them.
struct Board<'a> {
    loads: &'a [KeyLoad],
    targets: &'a [Candidate],
    used: BTreeMap<&'a Incarnation, f64>,
    pieces: Vec<OwnedRange>,
    moves: Vec<Move>,
}

/// Divides `ranges`, which have no owner, among the targets.
#[must_use]
pub fn assign_ranges(
    ranges: &[KeyRange],
    pieces: Vec<OwnedRange>,
    targets: &[Candidate],
    loads: &[KeyLoad],
) -> Vec<Move> {
    let mut board = Board::new(pieces, targets, loads);
    let total: f64 = ranges.iter().map(|it| board.load(*it)).sum();
    let owned: f64 = board.used.values().sum();
    let capacity: f64 = targets.iter().map(|it| it.capacity).sum();
    if capacity <= 0.0 {
        return Vec::new();
    }
    let level = (total + owned) / capacity;
    for range in ranges {
        let mut rest = Some(*range);
        while let Some(open) = rest {
            let Some((incarnation, used, target)) = board.emptiest() else {
                break;
            };
            let room = (level - used).max(level * 0.2) * target;
            let part = board.prefix(open, room);
            board.give(part, &incarnation);
            rest = open.above(part.last);
        }
    }
    board.moves
}

/// Moves that relieve the busiest targets.
#[must_use]
pub fn rebalance(pieces: Vec<OwnedRange>, targets: &[Candidate], loads: &[KeyLoad]) -> Vec<Move> {
    let mut board = Board::new(pieces, targets, loads);
    let mut order: Vec<&Candidate> = targets.iter().collect();
    while board.moves.len() < MOVES {
        order.sort_by(|a, b| board.level(b).total_cmp(&board.level(a)));
        let mut found = false;
        for busy in &order {
            if let Some((range, to)) = board.best_move(busy) {
                board.give(range, &to);
                found = true;
                break;
            }
        }
        if !found {
            break;
        }
    }
    board.moves
}

impl<'a> Board<'a> {
    fn new(pieces: Vec<OwnedRange>, targets: &'a [Candidate], loads: &'a [KeyLoad]) -> Self {
        let mut board = Self {
            loads,
            targets,
            used: targets.iter().map(|it| (&it.incarnation, 0.0)).collect(),
            pieces,
            moves: Vec::new(),
        };
        for piece in &board.pieces {
            let load = sum(within(loads, piece.range), piece.range);
            if let Some(used) = board.used.get_mut(&piece.owner) {
                *used += load;
            }
        }
        board
    }

    fn load(&self, range: KeyRange) -> f64 {
        sum(within(self.loads, range), range)
    }

    fn level(&self, target: &Candidate) -> f64 {
        self.used[&target.incarnation] / target.capacity.max(0.01)
    }

    fn emptiest(&self) -> Option<(Incarnation, f64, f64)> {
        let least = self
            .targets
            .iter()
            .min_by(|a, b| self.level(a).total_cmp(&self.level(b)))?;
        Some((least.incarnation.clone(), self.level(least), least.capacity))
    }

    /// The lowest keys of `range` with a load of about `room`, at least one key.
    fn prefix(&self, range: KeyRange, room: f64) -> KeyRange {
        let total = self.load(range);
        if total <= room * 1.2 {
            return range;
        }
        let loads = within(self.loads, range);
        let mut load = 0.0;
        let mut next = range.first;
        for it in loads {
            // The idle keys below this one.
            let idle = f64::from(it.key - next);
            if load + idle * IDLE_LOAD >= room {
                break;
            }
            load += idle * IDLE_LOAD;
            if load > 0.0 && load + it.load > room && it.key > range.first {
                return KeyRange::new(range.first, it.key - 1);
            }
            load += it.load;
            if load >= room || it.key == range.last {
                return KeyRange::new(range.first, it.key);
            }
            next = it.key + 1;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is limited to the width of the range"
        )]
        let idle = ((room - load) / IDLE_LOAD).clamp(1.0, 65_535.0) as Key;
        let last = next.saturating_add(idle - 1).clamp(range.first, range.last);
        KeyRange::new(range.first, last)
    }

    fn give(&mut self, range: KeyRange, to: &Incarnation) {
        let load = self.load(range);
        let mut pieces = Vec::with_capacity(self.pieces.len() + 2);
        for piece in std::mem::take(&mut self.pieces) {
            if piece.range.intersection(range).is_none() {
                pieces.push(piece);
                continue;
            }
            if let Some(used) = self.used.get_mut(&piece.owner) {
                *used -= load;
            }
            let sides = [
                piece.range.below(range.first),
                piece.range.above(range.last),
            ];
            for side in sides.into_iter().flatten() {
                pieces.push(OwnedRange {
                    range: side,
                    ..piece.clone()
                });
            }
        }
        pieces.push(OwnedRange {
            range,
            owner: to.clone(),
            movable: false,
        });
        self.pieces = pieces;
        if let Some(used) = self.used.get_mut(to) {
            *used += load;
        }
        self.moves.push(Move {
            range,
            to: to.clone(),
        });
    }

    /// The move from `busy` that helps most, if it helps enough.
    fn best_move(&self, busy: &Candidate) -> Option<(KeyRange, Incarnation)> {
        let level = self.level(busy);
        let least = LEAST_GAIN.max(level * LEAST_PART);
        if let Some(found) = self.faster(busy) {
            return Some(found);
        }
        let mut best: Option<(f64, KeyRange, &Incarnation)> = None;
        for other in self.targets {
            if other.incarnation == busy.incarnation {
                continue;
            }
            let gap = level - self.level(other);
            if gap < least {
                continue;
            }
            // Moving this much makes both equally busy.
            let wanted = gap / (1.0 / busy.capacity.max(0.01) + 1.0 / other.capacity.max(0.01));
            let Some((range, load)) = self.window(busy, wanted) else {
                continue;
            };
            let after = (level - load / busy.capacity.max(0.01))
                .max(self.level(other) + load / other.capacity.max(0.01));
            let gain = level - after;
            if gain >= least && best.as_ref().is_none_or(|it| gain > it.0) {
                best = Some((gain, range, &other.incarnation));
            }
        }
        best.map(|(_, range, to)| (range, to.clone()))
    }

    /// The keys next to each other, of one slice of `busy`, whose load comes closest to `wanted`
    /// from below.
    fn window(&self, busy: &Candidate, wanted: f64) -> Option<(KeyRange, f64)> {
        let mut best: Option<(KeyRange, f64)> = None;
        for piece in &self.pieces {
            if piece.owner != busy.incarnation || !piece.movable {
                continue;
            }
            let loads = within(self.loads, piece.range);
            let total = sum(loads, piece.range);
            if total <= wanted {
                if best.is_none_or(|it| total > it.1) {
                    best = Some((piece.range, total));
                }
                continue;
            }
            let mut load = 0.0;
            let mut start = 0;
            for end in 0..loads.len() {
                load += loads[end].load;
                while load > wanted && start <= end {
                    load -= loads[start].load;
                    start += 1;
                }
                if start <= end && best.is_none_or(|it| load > it.1) {
                    let first = if start == 0 {
                        piece.range.first
                    } else {
                        loads[start - 1].key + 1
                    };
                    let last = match loads.get(end + 1) {
                        None => piece.range.last,
                        Some(next) => next.key - 1,
                    };
                    best = Some((KeyRange::new(first, last), load));
                }
            }
        }
        best.filter(|it| it.1 > 0.0)
    }

    /// A key that `busy` cannot serve alone, and a faster target for it.
    fn faster(&self, busy: &Candidate) -> Option<(KeyRange, Incarnation)> {
        for piece in &self.pieces {
            if piece.owner != busy.incarnation || !piece.movable {
                continue;
            }
            let hottest = within(self.loads, piece.range)
                .iter()
                .max_by(|a, b| a.load.total_cmp(&b.load));
            let Some(hottest) = hottest.filter(|it| it.load > 0.9 * busy.capacity) else {
                continue;
            };
            let best = self
                .targets
                .iter()
                .filter(|it| it.capacity >= busy.capacity * FASTER)
                .filter(|it| !self.has_hot(it))
                .max_by(|a, b| {
                    let worth = |it: &Candidate| it.capacity - 0.2 * self.used[&it.incarnation];
                    worth(a).total_cmp(&worth(b))
                });
            if let Some(best) = best {
                let range = KeyRange::new(hottest.key, hottest.key);
                return Some((range, best.incarnation.clone()));
            }
        }
        None
    }

    /// Whether a target has a key that occupies most of it.
    fn has_hot(&self, target: &Candidate) -> bool {
        self.pieces.iter().any(|piece| {
            piece.owner == target.incarnation
                && within(self.loads, piece.range)
                    .iter()
                    .any(|it| it.load > 0.6 * target.capacity)
        })
    }
}

/// The load of `range`, whose keys with requests are `loads`.
fn sum(loads: &[KeyLoad], range: KeyRange) -> f64 {
    let idle = f64::from(range.width()) * IDLE_LOAD;
    loads.iter().map(|it| it.load).sum::<f64>() + idle
}
