/** A simulated cloud, written from the protocol specification: rents out machines and lists them with a lag. */
import type { HttpResponse } from '../../src/io/http-client.js';
import type { SimulatedAgent } from './simulated-agent.js';
import { MACHINE_CAPACITY } from './simulated-task.js';
import type { Json } from './sizes.js';
import type { VirtualTime } from './virtual-time.js';

/** Boot time of a machine. */
const BOOT_MS = { min: 500, max: 6000 };
/** Share of machines that never finish booting. */
const BOOT_FAILURE_PROBABILITY = 0.1;
/** Age of the state that a listing shows. */
const LIST_LAG_MS = { min: 1000, max: 4000 };

const MACHINE_TYPE = {
  label: 'm',
  ...MACHINE_CAPACITY,
  localGb: 100,
  fetchGbPerS: 1,
  rate: 4,
  spotPrice: 1.5,
  readyS: 4,
  vaults: ['a', 'b'],
};

/** A rented machine. */
export interface SimulatedMachine {
  /** The machine's agent; null until the machine has booted. */
  agent: SimulatedAgent | null;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly rentedAt: number;
  /** Simulated time at which the machine has booted; infinite where it never does. */
  bootedAt: number;
}

/** Dependencies and size of a simulated cloud. */
export interface SimulatedCloudOptions {
  readonly time: VirtualTime;
  readonly machinesPerZone: number;
  readonly startAgent: (name: string, zone: string, isSpot: boolean) => SimulatedAgent;
}

export class SimulatedCloud {
  readonly machines = new Map<string, SimulatedMachine>();
  /** Number of machines that were released while tasks were on them. */
  busyMachinesReleased = 0;
  private readonly namesByRental = new Map<string, string[]>();
  private machinesRented = 0;

  constructor(private readonly options: SimulatedCloudOptions) {}

  /** Answers a request of a controller. */
  handle(url: string, body: unknown): HttpResponse {
    const [path = ''] = url.split('?');
    if (path === '/machine_types') return { status: 200, body: { flavors: [MACHINE_TYPE] } };
    if (path === '/machines/release') return this.release(body as Json);
    if (path !== '/machines') return { status: 400, body: null };
    return body === undefined ? this.list() : this.rent(body as Json);
  }

  private release(body: Json): HttpResponse {
    for (const name of body['tellers'] as string[]) {
      const agent = this.machines.get(name)?.agent;
      if (agent != null && [...agent.tasks.values()].some((task) => task.state !== 'ended'))
        this.busyMachinesReleased++;
      agent?.terminate();
      this.machines.delete(name);
    }
    return { status: 200, body: {} };
  }

  private list(): HttpResponse {
    const { time } = this.options;
    const asOf = time.now - time.int(LIST_LAG_MS.min, LIST_LAG_MS.max);
    const tellers = [...this.machines]
      .filter(([, machine]) => machine.rentedAt <= asOf)
      .map(([name, machine]) => ({
        nameId: name,
        flavor: MACHINE_TYPE.label,
        vault: machine.zone,
        loaner: machine.isSpot,
        standing: machine.bootedAt <= asOf ? 'running' : 'starting',
        ageS: (asOf - machine.rentedAt) / 1000,
      }));
    return { status: 200, body: { tellers, hasNext: false } };
  }

  /** Rents out machines; a repeated request with the same rental id gets the same machines. */
  private rent(body: Json): HttpResponse {
    const { time, machinesPerZone } = this.options;
    const rental = String(body['rental']);
    const known = this.namesByRental.get(rental);
    if (known !== undefined) return { status: 200, body: { tellers: known } };
    const zone = String(body['vault']);
    const used = [...this.machines.values()].filter((machine) => machine.zone === zone).length;
    const count = Math.min(Number(body['howMany']), machinesPerZone - used);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const names: string[] = [];
    for (let i = 0; i < count; i++)
      names.push(this.bootMachine(zone, body['loaner'] === true, time.int(BOOT_MS.min, BOOT_MS.max)));
    this.namesByRental.set(rental, names);
    return { status: 200, body: { tellers: names } };
  }

  private bootMachine(zone: string, isSpot: boolean, bootMs: number): string {
    const { time, startAgent } = this.options;
    const name = `n-${String(++this.machinesRented).padStart(6, '0')}`;
    const machine: SimulatedMachine = {
      agent: null,
      zone,
      isSpot,
      rentedAt: time.now,
      bootedAt: time.now + bootMs,
    };
    this.machines.set(name, machine);
    if (time.happens(BOOT_FAILURE_PROBABILITY)) machine.bootedAt = Number.POSITIVE_INFINITY;
    else
      time.after(bootMs, () => {
        if (this.machines.get(name) === machine) machine.agent = startAgent(name, zone, isSpot);
      });
    return name;
  }
}
