package org.cyclamenstall.settings;

import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/**
 * Settings of the platform, which provides a key-value store and a list of hosts to the
 * daemons. Immutable.
 *
 * @param store the settings of the key-value store
 * @param hostList the settings of the host list
 */
public record PlatformSettings(@NotNull @Valid StoreSettings store, @NotNull @Valid HostListSettings hostList) {

}
