//! A vector that can only be indexed by one of the types of [`index`](crate::index).

use std::marker::PhantomData;
use std::ops;

use crate::index::Index;

/// A `Vec<T>` indexed by `I`.
pub(crate) struct IndexVec<I, T> {
    items: Vec<T>,
    index: PhantomData<I>,
}

impl<I: Index, T> IndexVec<I, T> {
    pub(crate) fn get(&self, index: I) -> Option<&T> {
        self.items.get(index.position())
    }

    pub(crate) fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.items.get_mut(index.position())
    }

    /// Returns the item at `index`. If there is none, appends new items up to and including it.
    pub(crate) fn get_or_insert_with(&mut self, index: I, new_item: impl FnMut() -> T) -> &mut T {
        if self.items.len() <= index.position() {
            self.items.resize_with(index.position() + 1, new_item);
        }
        &mut self.items[index.position()]
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    /// Returns the indices of all items, in order.
    pub(crate) fn indices(&self) -> impl Iterator<Item = I> + use<I, T> {
        (0..self.items.len()).map(I::from_position)
    }
}

impl<I, T> Default for IndexVec<I, T> {
    fn default() -> Self {
        IndexVec { items: Vec::new(), index: PhantomData }
    }
}

impl<I, T> FromIterator<T> for IndexVec<I, T> {
    fn from_iter<Items: IntoIterator<Item = T>>(items: Items) -> Self {
        IndexVec { items: items.into_iter().collect(), index: PhantomData }
    }
}

impl<I: Index, T> ops::Index<I> for IndexVec<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        &self.items[index.position()]
    }
}

impl<I: Index, T> ops::IndexMut<I> for IndexVec<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        &mut self.items[index.position()]
    }
}
