/** Encodes requests to the cloud and decodes its answers: maps the protocol's field names to those of the core. */
import {
  machineName,
  typeName,
  zoneName,
  type MachineName,
  type TypeName,
  type Zone,
} from '../../core/model/ids.js';
import type { MachineType } from '../../core/model/machines.js';
import { capacityVector } from '../../core/model/resources.js';
import { isObject, type Json } from '../json.js';
import { ProtocolError } from '../protocol-error.js';

/** Maximum number of machines on one page of the list. */
const PAGE_SIZE = 500;

/** A machine as the cloud lists it. */
export interface ListedMachine {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  /** `booting` for a machine that the cloud calls `starting`; its other values are unchanged. */
  readonly state: string;
  /** Seconds since the rental. */
  readonly ageS: number;
}

/** Decodes a list of machine types. Throws `ProtocolError` if the body has no list. */
export function typesFromWire(body: unknown): MachineType[] {
  if (!isObject(body) || !Array.isArray(body['flavors'])) {
    const received = isObject(body)
      ? `an object with the fields ${Object.keys(body).join(' ')}`
      : typeof body;
    throw new ProtocolError(`machine types: expected an array 'flavors' from the cloud, got ${received}`);
  }
  return (body['flavors'] as Json[]).map((type) => ({
    name: typeName(String(type['label'])),
    capacity: capacityVector(Number(type['vcpus']), Number(type['memoryGb']), Number(type['cards'] ?? 0)),
    price: Number(type['rate']),
    spotPrice: Number(type['spotPrice'] ?? type['rate']),
    bootS: Number(type['readyS']),
    cacheGb: Number(type['localGb'] ?? 0),
    fetchGbPerS: Number(type['fetchGbPerS'] ?? 1),
    zones: ((type['vaults'] ?? []) as string[]).map(zoneName),
  }));
}

/** Encodes the body of a rental request for `count` machines. */
export const rentalToWire = (rental: {
  name: string;
  type: TypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}) => ({
  rental: rental.name,
  flavor: rental.type,
  vault: rental.zone,
  loaner: rental.spot,
  howMany: rental.count,
});

/** Decodes the names of the rented machines; empty if the answer has none. */
export const rentedFromWire = (body: unknown): MachineName[] =>
  isObject(body) && Array.isArray(body['tellers']) ? (body['tellers'] as string[]).map(machineName) : [];

/** Encodes the body of a request to release machines. */
export const releaseToWire = (names: readonly MachineName[]) => ({ tellers: names });

/** The query string for a page of the machine list, after the machine `after` (null: the first page). */
export const listQuery = (after: string | null): string =>
  `?most=${PAGE_SIZE}${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;

/** Decodes a page of the machine list. Throws `ProtocolError` if the body has no list. */
export function listFromWire(body: unknown): { machines: ListedMachine[]; hasMore: boolean } {
  if (!isObject(body) || !Array.isArray(body['tellers'])) {
    const received = isObject(body)
      ? `an object with the fields ${Object.keys(body).join(' ')}`
      : typeof body;
    throw new ProtocolError(`machine list: expected an array 'tellers' from the cloud, got ${received}`);
  }
  const machines = (body['tellers'] as Json[]).map((machine) => ({
    name: machineName(String(machine['nameId'])),
    type: typeName(String(machine['flavor'])),
    zone: zoneName(String(machine['vault'])),
    spot: machine['loaner'] === true,
    state: machine['standing'] === 'starting' ? 'booting' : String(machine['standing']),
    ageS: Number(machine['ageS'] ?? 0),
  }));
  return { machines, hasMore: body['hasNext'] === true };
}
