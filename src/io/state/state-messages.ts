/** Requests to the state service and its answers: the protocol's field names, mapped to those of the client. */
import { type Version, type Revision, revision, version } from '../../core/model/ids.js';
import type { KeyChange } from '../../core/state/cluster-view.js';
import { isObject, type Json } from '../json.js';
import type { WriteReason } from './state-usage.js';

// State service.

/** A change to one key. */
export interface WriteOperation {
  readonly key: string;
  /** Undefined: delete. */
  readonly value: unknown;
  readonly lease?: number;
  /** Why it is written; only counted. */
  readonly reason?: WriteReason;
}
/** The version that a key must have. */
export interface Guard {
  readonly key: string;
  readonly version: Version;
}
/** The body of a transaction. */
export const transactionToWire = (guards: readonly Guard[], operations: readonly WriteOperation[]) => ({
  guards: guards.map((g) => ({ path: g.key, entryRev: g.version })),
  then: operations.map((o) =>
    o.value === undefined
      ? { remove: o.key }
      : { write: o.key, value: o.value, ...(o.lease === undefined ? {} : { hold: o.lease }) },
  ),
});
/** The revision that an answer names. */
export const revisionFromWire = (b: unknown): Revision =>
  revision(isObject(b) ? Number(b['ledgerRev'] ?? 0) : 0);
/** The keys whose guards failed. */
export const failedFromWire = (b: unknown): string[] =>
  isObject(b) && Array.isArray(b['failed']) ? (b['failed'] as string[]) : [];
/** A page of a listing of keys. */
export function rowsFromWire(b: unknown): { rows: KeyChange[]; more: boolean; rev: Revision } {
  if (!isObject(b)) throw new Error('listing: no object');
  const rows = ((b['rows'] ?? []) as Json[]).map((r) => ({
    key: String(r['path']),
    value: r['value'],
    version: version(Number(r['entryRev'])),
  }));
  return { rows, more: b['hasNext'] === true, rev: revisionFromWire(b) };
}
/** A key's value and version. */
export function entryFromWire(b: unknown): { value: unknown; version: Version } {
  if (!isObject(b)) throw new Error('key: no object');
  return { value: b['value'], version: version(Number(b['entryRev'])) };
}
/** The changes of a watch's answer. */
export function eventsFromWire(b: unknown): { events: KeyChange[]; rev: Revision } {
  if (!isObject(b)) throw new Error('watch: no object');
  const events = ((b['events'] ?? []) as Json[]).map((e) => ({
    key: String(e['write'] ?? e['remove']),
    value: e['write'] === undefined ? undefined : e['value'],
    version: version(Number(e['entryRev'])),
  }));
  return { events, rev: revisionFromWire(b) };
}
/** The query for a page of keys. */
export const listKeysQuery = (prefix: string, after: string | null) =>
  `?starts=${encodeURIComponent(prefix)}&most=1000${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;
/** The query of a watch. */
export const watchQuery = (prefix: string, from: Revision, waitMs: number) =>
  `?starts=${encodeURIComponent(prefix)}&from=${from}&blockMs=${waitMs}`;
/** The body of a request for a lease. */
export const leaseToWire = (ttlMs: number) => ({ ttlMs });
/** The lease that was granted. */
export const leaseFromWire = (b: unknown): number => (isObject(b) ? Number(b['hold']) : Number.NaN);
