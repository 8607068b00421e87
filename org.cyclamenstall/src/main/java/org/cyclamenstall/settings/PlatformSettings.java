package org.cyclamenstall.settings;

import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/**
 * Holds the settings of the platform's services. Immutable.
 *
 * @param store the key-value service
 * @param hostList the list of hosts
 */
public record PlatformSettings(@NotNull @Valid StoreSettings store, @NotNull @Valid HostListSettings hostList) {

}
