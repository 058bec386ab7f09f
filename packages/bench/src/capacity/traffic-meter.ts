import type {CoreEvent, HostId, PeerMessage} from '@basilworks/core';
import type {FleetObserver} from '@basilworks/histories';

import {roleOf, type Role} from './role.js';

/** Bytes of envelope, gRPC, HTTP/2, TCP and IP for one delivered message. */
export const MESSAGE_OVERHEAD_BYTES = 150;

/** What one role of all hosts did. */
export interface RoleUsage {
  turns: number;
  elapsedNs: bigint;
}

/** Counts turns by role, and messages by type, of a whole fleet. */
export class TrafficMeter implements FleetObserver {
  readonly roles = new Map<Role, RoleUsage>();
  readonly bytesByHost = new Map<HostId, number>();
  readonly bytesByType = new Map<string, number>();
  messages = 0;

  reduced(_host: HostId, event: CoreEvent, elapsedNs: bigint): void {
    const role = roleOf(event);
    const usage = this.roles.get(role);
    if (usage === undefined) {
      this.roles.set(role, {turns: 1, elapsedNs});
    } else {
      usage.turns += 1;
      usage.elapsedNs += elapsedNs;
    }
  }

  sent(from: HostId, to: HostId, message: PeerMessage): void {
    if (from === to) {
      return;
    }
    const bytes = JSON.stringify(message).length + MESSAGE_OVERHEAD_BYTES;
    this.messages += 1;
    this.add(this.bytesByHost, from, bytes);
    this.add(this.bytesByHost, to, bytes);
    this.add(this.bytesByType, message.type, bytes);
  }

  private add(table: Map<string, number>, key: string, bytes: number): void {
    table.set(key, (table.get(key) ?? 0) + bytes);
  }
}
