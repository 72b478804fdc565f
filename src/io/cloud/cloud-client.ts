/** The client of the cloud: lists machine types and machines, rents and releases machines. */
import type { Clock } from '../../core/model/clock.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MachineType, RentalRecord } from '../../core/model/machines.js';
import type { HttpResponse, Method, Transport } from '../http-client.js';
import { paths } from '../paths.js';
import { RateLimiter, type RequestPriority } from '../rate-limiter.js';
import {
  listFromWire,
  listQuery,
  releaseToWire,
  rentalToWire,
  rentedFromWire,
  typesFromWire,
  type ListedMachine,
} from './cloud-messages.js';

const TIMEOUT_MS = 5000;
const MAX_QUEUED_REQUESTS = 50;
/** Fraction of the cloud's rate limit that is used; the rest absorbs clock drift. */
const RATE_FRACTION = 0.9;
/** Rentals, releases and reads of machine types are granted before listings. */
const CHANGE_PRIORITY: RequestPriority = 1;
const LIST_PRIORITY: RequestPriority = 2;

/** Result of a rental request. */
export type RentalResult =
  | { readonly kind: 'rented'; readonly machines: readonly MachineName[] }
  | { readonly kind: 'no_capacity' }
  /** No usable answer: the rental may have been carried out, and the same request must be sent again. */
  | { readonly kind: 'unknown' };

interface CloudRequest {
  readonly method: Method;
  readonly path: string;
  readonly body?: unknown;
  readonly priority: RequestPriority;
}

/** Sends requests to the cloud, each once the rate limiter has granted it. */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(
    private readonly transport: Transport,
    requestsPerSecond: number,
    clock: Clock,
  ) {
    const rate = requestsPerSecond * RATE_FRACTION;
    this.limiter = new RateLimiter({
      requestRates: { max: rate, min: rate },
      // The cloud limits requests only: no writes are ever acquired.
      writeRates: { max: 1, min: 1 },
      maxQueued: MAX_QUEUED_REQUESTS,
      maxBorrowFactor: 1,
      clock,
    });
  }

  /** Reads the machine types; null if no answer with status 200 came. Throws `ProtocolError` on a malformed body. */
  async types(): Promise<MachineType[] | null> {
    const response = await this.call({ method: 'GET', path: paths.types, priority: CHANGE_PRIORITY });
    return response?.status === 200 ? typesFromWire(response.body) : null;
  }

  /** Rents one machine for each owner of the rental; idempotent, as the cloud identifies a rental by its name. */
  async rent(rental: RentalRecord): Promise<RentalResult> {
    const body = rentalToWire({ ...rental, count: rental.owners.length });
    const response = await this.call({
      method: 'POST',
      path: paths.machines,
      body,
      priority: CHANGE_PRIORITY,
    });
    if (response?.status === 200) return { kind: 'rented', machines: rentedFromWire(response.body) };
    return { kind: isCapacityRefusal(response) ? 'no_capacity' : 'unknown' };
  }

  /** Releases machines. True: they and everything on them no longer exist; false: they may still exist. */
  async release(names: readonly MachineName[]): Promise<boolean> {
    const body = releaseToWire(names);
    const response = await this.call({
      method: 'POST',
      path: paths.release,
      body,
      priority: CHANGE_PRIORITY,
    });
    return response?.status === 200;
  }

  /**
   * Lists all machines, page by page; the list lags behind rentals and releases. Null if a page could not be read.
   * Throws `ProtocolError` on a malformed page.
   */
  async list(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const path: string = paths.machines + listQuery(after);
      const response: HttpResponse | null = await this.call({ method: 'GET', path, priority: LIST_PRIORITY });
      if (response?.status !== 200) return null;
      const page = listFromWire(response.body);
      machines.push(...page.machines);
      if (!page.hasMore || page.machines.length === 0) return machines;
      after = page.machines[page.machines.length - 1]!.name;
    }
  }

  /** Sends a request; null if no response came, its body is not JSON, or the queue is full. */
  private async call({ method, path, body, priority }: CloudRequest): Promise<HttpResponse | null> {
    if (!(await this.limiter.acquire(priority, 0))) return null;
    try {
      const response = await this.transport.request(method, path, body, TIMEOUT_MS);
      if (response.status === 429) this.limiter.recordRefusal(0);
      return response;
    } catch {
      return null;
    }
  }
}

/** Whether the cloud refused a rental. It answers 503 in an outage, too, which only the body distinguishes. */
function isCapacityRefusal(response: HttpResponse | null): boolean {
  if (response?.status === 400) return true;
  return response?.status === 503 && JSON.stringify(response.body ?? '').includes('no capacity');
}
