# tamarack_library(NAME SOURCES... DEPENDS...): one package of the workspace, with public headers in include/.
function(tamarack_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(tamarack_${name} STATIC ${ARG_SOURCES})
    target_include_directories(tamarack_${name}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(tamarack_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

if(BUILD_TESTING)
    find_package(Catch2 REQUIRED)
    include(Catch)
endif()

# tamarack_test(NAME SOURCES... DEPENDS... [SERIAL]): one Catch2 program; ctest runs and counts each of its cases.
function(tamarack_test name)
    if(NOT BUILD_TESTING)
        return()
    endif()
    cmake_parse_arguments(ARG "SERIAL" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE tamarack_test_main ${ARG_DEPENDS})
    if(ARG_SERIAL)
        catch_discover_tests(${name} PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE)
    else()
        catch_discover_tests(${name} PROPERTIES TIMEOUT 300)
    endif()
endfunction()
