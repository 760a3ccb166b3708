//! Exhaustive exploration of a model: a breadth-first search over hashed states.

use std::{
    collections::{HashSet, VecDeque},
    fmt::Debug,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
};

/// A system with discrete states.
pub trait Model {
    /// A state. States with equal hashes are taken for the same one: with 64 bits and a
    /// million states, the chance that any two collide is below one in 10 million.
    type State: Clone + Hash;
    /// A step from one state to another.
    type Action: Debug + Clone;

    /// The first state.
    fn initial(&self) -> Self::State;

    /// Appends the actions that are possible in a state.
    fn actions(&self, state: &Self::State, actions: &mut Vec<Self::Action>);

    /// The state after an action.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Self::State;

    /// Checks a state. Returns what is wrong with it.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// What a search has covered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coverage {
    /// Number of different states that were checked.
    pub states: usize,
    /// Number of actions on the longest path.
    pub depth: usize,
    /// Whether every reachable state was checked.
    pub complete: bool,
}

/// Checks the reachable states, those with the fewest actions first, up to a number of
/// states.
///
/// # Panics
///
/// Panics at the first state that fails its check, with the actions that lead to it.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Coverage {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let mut seen = HashSet::new();
    // For each state, the state before it and the action in between.
    let mut origins: Vec<Option<(usize, M::Action)>> = vec![None];
    let mut queue = VecDeque::new();
    let initial = model.initial();
    seen.insert(hasher.hash_one(&initial));
    queue.push_back((0, 0, initial));
    let mut actions = Vec::new();
    let mut coverage = Coverage {
        states: 0,
        depth: 0,
        complete: true,
    };
    while let Some((index, depth, state)) = queue.pop_front() {
        coverage.states += 1;
        coverage.depth = depth;
        if let Err(fault) = model.check(&state) {
            let path = path(&origins, index);
            panic!("{fault}, after {} actions: {path:#?}", path.len());
        }
        actions.clear();
        model.actions(&state, &mut actions);
        for action in &actions {
            let next = model.apply(&state, action);
            if !seen.insert(hasher.hash_one(&next)) {
                continue;
            }
            if origins.len() >= max_states {
                coverage.complete = false;
                continue;
            }
            queue.push_back((origins.len(), depth + 1, next));
            origins.push(Some((index, action.clone())));
        }
    }
    coverage
}

fn path<A: Clone>(origins: &[Option<(usize, A)>], mut index: usize) -> Vec<A> {
    let mut path = Vec::new();
    while let Some((before, action)) = &origins[index] {
        path.push(action.clone());
        index = *before;
    }
    path.reverse();
    path
}
