/** Maps of bounded size, from which the oldest entries are evicted. */

/** Evicts the entry that was inserted first if the map has more entries than `maxSize`. */
export function evictOldest<Key>(map: Map<Key, unknown>, maxSize: number): void {
  if (map.size <= maxSize) return;
  const oldest = map.keys().next();
  if (oldest.done !== true) map.delete(oldest.value);
}
