/** Requests to the cloud and its answers: the protocol's field names, mapped to those of the core. */
import {
  type MachineName,
  type TypeName,
  type Zone,
  typeName,
  zoneName,
  machineName,
} from '../../core/model/ids.js';
import type { MachineType } from '../../core/model/machines.js';
import { capacityVector } from '../../core/model/resources.js';
import { isObject, type Json } from '../json.js';

// Cloud.

/** A machine as the cloud lists it. */
export interface ListedMachine {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly state: string;
  readonly ageS: number;
}

/** The machine types of the cloud's answer. */
export function typesFromWire(b: unknown): MachineType[] {
  if (!isObject(b) || !Array.isArray(b['flavors'])) throw new Error('machine types: no list');
  return (b['flavors'] as Json[]).map((t) => ({
    name: typeName(String(t['label'])),
    capacity: capacityVector(Number(t['vcpus']), Number(t['memoryGb']), Number(t['cards'] ?? 0)),
    price: Number(t['rate']),
    spotPrice: Number(t['spotPrice'] ?? t['rate']),
    bootS: Number(t['readyS']),
    cacheGb: Number(t['localGb'] ?? 0),
    fetchGbPerS: Number(t['fetchGbPerS'] ?? 1),
    zones: ((t['vaults'] ?? []) as string[]).map(zoneName),
  }));
}
/** The body of a rental request. */
export const rentalToWire = (r: {
  name: string;
  type: TypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}) => ({
  rental: r.name,
  flavor: r.type,
  vault: r.zone,
  loaner: r.spot,
  howMany: r.count,
});
/** The machines of the answer to a rental. */
export const rentedFromWire = (b: unknown): MachineName[] =>
  isObject(b) && Array.isArray(b['tellers']) ? (b['tellers'] as string[]).map(machineName) : [];
/** The body of a request to return machines. */
export const releaseToWire = (names: readonly MachineName[]) => ({ tellers: names });
/** The query for a page of the machine list. */
export const listQuery = (after: string | null) =>
  `?most=500${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;
/** A page of the machine list. */
export function listFromWire(b: unknown): { machines: ListedMachine[]; more: boolean } {
  if (!isObject(b) || !Array.isArray(b['tellers'])) throw new Error('machine list: no list');
  const machines = (b['tellers'] as Json[]).map((m) => ({
    name: machineName(String(m['nameId'])),
    type: typeName(String(m['flavor'])),
    zone: zoneName(String(m['vault'])),
    spot: m['loaner'] === true,
    state: m['standing'] === 'starting' ? 'booting' : String(m['standing']),
    ageS: Number(m['ageS'] ?? 0),
  }));
  return { machines, more: b['hasNext'] === true };
}
